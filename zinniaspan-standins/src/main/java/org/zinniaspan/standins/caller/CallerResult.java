package org.zinniaspan.standins.caller;

import java.util.Optional;

/**
 * What a caller got.
 *
 * @param status HTTP status, zero if the connection failed
 * @param outcome value of the outcome header, empty if there was none
 * @param endpoint endpoint that answered, empty if none did
 * @param retryAfterSeconds value of the Retry-After header
 * @param text streamed text or body
 * @param complete whether the whole answer came
 * @param tokens tokens received
 * @param firstTokenMs milliseconds from sending to the first token
 * @param totalMs milliseconds from sending to the end
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

  /** Returns whether the request was answered in full. */
  public boolean isAnswered() {
    return status == OK && complete;
  }
}
