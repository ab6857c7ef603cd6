package org.zinniaspan.standins.load;

/** Builds the prompts of chat requests. */
final class Prompts {

  private static final String FILLER =
      "the vehicle, its owner, its plate and the page of the town; ";

  private Prompts() {}

  /**
   * Returns the prompt of a request.
   *
   * <p>It begins with a prefix that all requests of the same organisation and class share, so that
   * prefix caches take effect, and ends with {@code #tokens=N}, which fixes the answer's length.
   */
  static String of(Arrival arrival, RequestKind.Chat chat) {
    String shared =
        sharedPrefix(
            "organisation " + arrival.organisation() + " " + arrival.kind().serviceClass(), chat);
    String own = "request " + arrival.number() + " ";
    String text = own + FILLER.repeat(chat.ownCharacters() / FILLER.length());
    return shared + text + "#tokens=" + arrival.tokens();
  }

  private static String sharedPrefix(String start, RequestKind.Chat chat) {
    StringBuilder text = new StringBuilder(start).append(' ');
    while (text.length() < chat.sharedCharacters()) {
      text.append(FILLER);
    }
    text.setLength(chat.sharedCharacters());
    return text.toString();
  }
}
