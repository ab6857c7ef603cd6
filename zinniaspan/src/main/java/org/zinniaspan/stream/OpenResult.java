package org.zinniaspan.stream;

/** What came of sending a request to an engine. */
public sealed interface OpenResult {

  /** The engine accepted; tokens follow. */
  record Opened(EngineStream stream) implements OpenResult {}

  /** No byte was sent. */
  record NotSent(String reason) implements OpenResult {}

  /**
   * The engine answered with an error.
   *
   * @param status HTTP status
   * @param leaving whether it refuses because it leaves
   * @param message its error message
   */
  record Rejected(int status, boolean leaving, String message) implements OpenResult {}

  /** The connection broke, or the answer made no sense, after a byte may have left. */
  record Broken(String reason) implements OpenResult {}
}
