package org.zinniaspan.runner;

/** What came of sending a call to a plain service. */
public sealed interface SendResult {

  /** The service answered in full. */
  record Answered(ServiceResponse response) implements SendResult {}

  /** No byte was sent. */
  record NotSent(String reason) implements SendResult {}

  /** The connection broke, or the answer made no sense, after a byte may have left. */
  record MaybeSent(String reason) implements SendResult {}
}
