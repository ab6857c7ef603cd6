package org.zinniaspan.standins.soak;

import java.util.Optional;

/**
 * A client attempt as its caller saw it.
 *
 * @param attemptId its id
 * @param path path that was called
 * @param organisation organisation whose key was used
 * @param sentMs when it was sent, in milliseconds since the epoch
 * @param status status of the answer; 0 if there was none
 * @param body the body; absent unless the answer was complete
 */
record ObservedCall(
    String attemptId,
    String path,
    String organisation,
    long sentMs,
    int status,
    Optional<String> body) {

  /** Returns whether the answer promises that the request has not run and never will. */
  boolean isReportedNotRun() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** Returns whether the answer is a complete success. */
  boolean isServed() {
    return status == 200 && body.isPresent();
  }
}
