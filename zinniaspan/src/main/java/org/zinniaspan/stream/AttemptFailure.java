package org.zinniaspan.stream;

import java.util.Optional;
import org.zinniaspan.dispatch.SlotResult;

/**
 * Why an attempt ended without the whole answer.
 *
 * @param result what the slot service is told
 * @param reason for people
 * @param mayHaveRun whether the engine may have begun to answer
 * @param rejection the engine's error, if it answered with one
 */
record AttemptFailure(
    SlotResult result, String reason, boolean mayHaveRun, Optional<ChatStart.Rejected> rejection) {

  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  static AttemptFailure broken(String reason) {
    return new AttemptFailure(SlotResult.BROKEN, reason, true, Optional.empty());
  }

  static AttemptFailure notSent(String reason) {
    return new AttemptFailure(SlotResult.UNREACHABLE, reason, false, Optional.empty());
  }

  static AttemptFailure unused(String reason) {
    return new AttemptFailure(SlotResult.UNUSED, reason, false, Optional.empty());
  }

  static AttemptFailure preempted() {
    return new AttemptFailure(SlotResult.CANCELLED, "preempted", true, Optional.empty());
  }

  static AttemptFailure rejected(int status, boolean leaving, String message) {
    Optional<ChatStart.Rejected> rejection = Optional.of(new ChatStart.Rejected(status, message));
    boolean refused =
        leaving || status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == NOT_FOUND;
    boolean mayHaveRun = status >= SERVER_ERROR && !refused;
    String reason = "status " + status + ": " + message;
    return new AttemptFailure(result(status, leaving), reason, mayHaveRun, rejection);
  }

  private static SlotResult result(int status, boolean leaving) {
    if (leaving) {
      return SlotResult.LEAVING;
    }
    boolean engineAtFault =
        status >= SERVER_ERROR || status == TOO_MANY_REQUESTS || status == NOT_FOUND;
    return engineAtFault ? SlotResult.REJECTED : SlotResult.COMPLETED;
  }

  /** Returns the engine's error if it concerns the request rather than the engine. */
  Optional<ChatStart> rejectionForCaller() {
    return rejection
        .filter(r -> result == SlotResult.COMPLETED || r.status() == NOT_FOUND)
        .map(r -> r);
  }

  /** Returns whether another endpoint may do better. */
  boolean isRetryable() {
    return result != SlotResult.COMPLETED;
  }

  /** Returns whether an engine spent work on the attempt, so that a retry needs the budget. */
  boolean consumesRetryBudget() {
    return result == SlotResult.BROKEN || result == SlotResult.REJECTED;
  }
}
