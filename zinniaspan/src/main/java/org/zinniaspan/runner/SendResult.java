package org.zinniaspan.runner;

/** Result of sending a call to a plain service once. */
public sealed interface SendResult {

  /** The service sent a complete response. */
  record Answered(ServiceResponse response) implements SendResult {}

  /** No byte was sent, so the call has not run. */
  record NotSent(String reason) implements SendResult {}

  /**
   * The connection failed, or the response was malformed, after a byte may have been sent; the call
   * may have run.
   */
  record MaybeSent(String reason) implements SendResult {}
}
