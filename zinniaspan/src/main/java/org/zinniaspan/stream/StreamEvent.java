package org.zinniaspan.stream;

/** One event of an answer. */
public sealed interface StreamEvent {

  /** The next token's text. */
  record Token(String text) implements StreamEvent {}

  /** The answer is complete. */
  record Finished(String finishReason) implements StreamEvent {}

  /** The answer ends here and is not complete. */
  record Broken(String reason) implements StreamEvent {}

  /** Nothing came within the time; only engine streams say so, never a {@link ChatSession}. */
  record Waiting() implements StreamEvent {}

  /**
   * The engine answered with an error; only engine streams say so, never a {@link ChatSession}.
   *
   * @param status HTTP status
   * @param leaving whether it refuses because it leaves
   * @param message its error message
   */
  record Rejected(int status, boolean leaving, String message) implements StreamEvent {}
}
