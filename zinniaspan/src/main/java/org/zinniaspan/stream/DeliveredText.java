package org.zinniaspan.stream;

/** What the caller has of an answer; used by one thread. */
final class DeliveredText {

  private final StringBuilder text = new StringBuilder();
  private int tokens;

  void add(String token) {
    text.append(token);
    tokens++;
  }

  int tokens() {
    return tokens;
  }

  int length() {
    return text.length();
  }

  /** Returns whether the text holds the part at the offset. */
  boolean matchesAt(int offset, String part) {
    return text.length() >= offset + part.length()
        && text.substring(offset, offset + part.length()).equals(part);
  }
}
