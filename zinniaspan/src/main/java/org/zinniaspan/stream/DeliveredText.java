package org.zinniaspan.stream;

/** The part of an answer that was delivered to the caller; used by one thread. */
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

  /** Returns whether the delivered text contains the part at the given character offset. */
  boolean matchesAt(int offset, String part) {
    return text.length() >= offset + part.length()
        && text.substring(offset, offset + part.length()).equals(part);
  }
}
