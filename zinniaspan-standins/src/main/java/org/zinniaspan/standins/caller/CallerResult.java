package org.zinniaspan.standins.caller;

import java.util.Optional;

/**
 * The response to a caller, with its timing.
 *
 * @param status HTTP status, zero if the exchange failed
 * @param outcome value of the outcome header, empty if there was none
 * @param endpoint value of the endpoint header, empty if there was none
 * @param retryAfterSeconds value of the Retry-After header, if present
 * @param text text of the streamed tokens, or the response body; the exception if the exchange
 *     failed
 * @param complete whether the response was received to its end; for a stream, to its [DONE] event
 * @param tokens number of tokens received; for a body, its reported completion tokens
 * @param firstTokenMs milliseconds from sending to the first token, or the total time if no token
 *     was streamed
 * @param totalMs milliseconds from sending to the end of the response or the failure
 */
public record CallerResult(
    int status,
    String outcome,
    String endpoint,
    Optional<Integer> retryAfterSeconds,
    String text,
    boolean complete,
    int tokens,
    double firstTokenMs,
    double totalMs) {

  private static final int OK = 200;

  static CallerResult failed(String reason, double totalMs) {
    return new CallerResult(0, "", "", Optional.empty(), reason, false, 0, totalMs, totalMs);
  }

  /** Returns whether the status is 200 and the response is complete. */
  public boolean isAnswered() {
    return status == OK && complete;
  }
}
