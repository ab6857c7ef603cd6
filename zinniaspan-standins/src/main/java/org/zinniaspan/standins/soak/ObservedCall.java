package org.zinniaspan.standins.soak;

import java.util.List;
import java.util.regex.Pattern;

/**
 * A client attempt and its result as observed by the client.
 *
 * @param attemptId id of the attempt
 * @param firstAttemptId id of the attempt that began the stream that this one resumes; the own id
 *     if it resumes none
 * @param path request path
 * @param organisation organisation whose key was sent
 * @param sentMs time at which the request was sent, in milliseconds since the epoch
 * @param status HTTP status of the response; 0 if there was none
 * @param received what arrived of the response body
 * @param complete whether the response body arrived completely
 */
record ObservedCall(
    String attemptId,
    String firstAttemptId,
    String path,
    String organisation,
    long sentMs,
    int status,
    String received,
    boolean complete) {

  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: \\S+-\\d+ (\\S+)\n\n");

  /**
   * One complete event of a stream.
   *
   * @param number its id
   * @param software software version of the endpoint that created it
   */
  record Event(int number, String software) {}

  /** Returns the complete events that arrived, in order. */
  List<Event> events() {
    return EVENT
        .matcher(received)
        .results()
        .map(found -> new Event(Integer.parseInt(found.group(1)), found.group(2)))
        .toList();
  }

  /** Returns whether this attempt resumes a stream that another one began. */
  boolean isResume() {
    return !firstAttemptId.equals(attemptId);
  }

  /**
   * Returns whether the status guarantees that the request has not been executed and never will.
   */
  boolean isReportedNotRun() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** Returns whether the status is 200 and the body arrived completely. */
  boolean isServed() {
    return status == 200 && complete;
  }
}
