package org.zinniaspan.stream;

/** An event of a streamed answer. */
public sealed interface StreamEvent {

  /** The text of the next token. */
  record Token(String text) implements StreamEvent {}

  /** The answer is complete. */
  record Finished(String finishReason) implements StreamEvent {}

  /** The stream ended before the answer was complete. */
  record Broken(String reason) implements StreamEvent {}

  /** No event arrived in time; sent by engine streams, never by a {@link ChatSession}. */
  record Waiting() implements StreamEvent {}

  /**
   * The engine answered with an error; sent by engine streams, never by a {@link ChatSession}.
   *
   * @param status HTTP status
   * @param leaving whether the engine refuses because it is leaving
   * @param message error message of the engine
   */
  record Rejected(int status, boolean leaving, String message) implements StreamEvent {}
}
