package org.zinniaspan.stream;

import java.util.Optional;
import org.zinniaspan.dispatch.SlotResult;

/**
 * Failure of an attempt, which ended before the complete answer.
 *
 * @param result result for the slot service
 * @param reason cause in words, for logs and error messages
 * @param mayHaveRun whether the engine may have started to run the request
 * @param rejection error response of the engine, if there was one
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

  /** Returns the engine's error if it concerns the request, as a 404 may, and not the engine. */
  Optional<ChatStart> rejectionForCaller() {
    return rejection
        .filter(r -> result == SlotResult.COMPLETED || r.status() == NOT_FOUND)
        .map(r -> r);
  }

  /** Returns whether a retry at another endpoint may succeed. */
  boolean isRetryable() {
    return result != SlotResult.COMPLETED;
  }

  /** Returns whether the attempt may have cost the engine work, so that a retry needs budget. */
  boolean consumesRetryBudget() {
    return result == SlotResult.BROKEN || result == SlotResult.REJECTED;
  }
}
