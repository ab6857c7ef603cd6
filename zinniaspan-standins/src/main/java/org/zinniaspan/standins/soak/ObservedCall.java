package org.zinniaspan.standins.soak;

import java.util.Optional;

/**
 * A client attempt and its result as observed by the client.
 *
 * @param attemptId id of the attempt
 * @param path request path
 * @param organisation organisation whose key was sent
 * @param sentMs time at which the request was sent, in milliseconds since the epoch
 * @param status HTTP status of the response; 0 if there was none
 * @param body response body; empty unless it arrived completely
 */
record ObservedCall(
    String attemptId,
    String path,
    String organisation,
    long sentMs,
    int status,
    Optional<String> body) {

  /**
   * Returns whether the status guarantees that the request has not been executed and never will.
   */
  boolean isReportedNotRun() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** Returns whether the status is 200 and the body arrived completely. */
  boolean isServed() {
    return status == 200 && body.isPresent();
  }
}
