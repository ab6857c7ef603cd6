package org.zinniaspan.stream;

/** Result of sending a request to an engine. */
public sealed interface OpenResult {

  /** The request was sent; events follow on the stream. */
  record Opened(EngineStream stream) implements OpenResult {}

  /** The request failed before a byte was sent, so the engine cannot have run it. */
  record NotSent(String reason) implements OpenResult {}

  /**
   * The engine answered with an error.
   *
   * @param status HTTP status
   * @param leaving whether the engine refuses because it is leaving
   * @param message error message of the engine
   */
  record Rejected(int status, boolean leaving, String message) implements OpenResult {}

  /** The connection failed or the answer was malformed after a byte may have been sent. */
  record Broken(String reason) implements OpenResult {}
}
