package org.zinniaspan.stream;

/** One event of an answer. */
public sealed interface StreamEvent {

  /** The next token's text. */
  record Token(String text) implements StreamEvent {}

  /** The answer is complete. */
  record Finished(String finishReason) implements StreamEvent {}

  /** The answer ends here and is not complete. */
  record Broken(String reason) implements StreamEvent {}
}
