package org.zinniaspan.routing;

import org.zinniaspan.dispatch.SlotUse;

/**
 * Circuit breaker of one endpoint: ejects it after failures, then admits one request as a probe.
 *
 * <p>Failures close together add their weights to a score; the endpoint is ejected when the score
 * reaches a threshold. Until it answers again, each further failure ejects it at once, for twice as
 * long up to a maximum. Not thread-safe; the owner guards it with a lock.
 */
final class EndpointHealth {

  private static final int EJECTION_THRESHOLD = 6;
  private static final int UNREACHABLE_WEIGHT = 6;
  private static final int BROKEN_WEIGHT = 3;
  private static final int REJECTED_WEIGHT = 2;
  private static final long FAILURE_WINDOW_MS = 5_000;
  private static final long BASE_EJECTION_MS = 1_000;
  private static final long MAX_EJECTION_MS = 30_000;
  private static final int MAX_DOUBLINGS = 5;

  private int failureScore;
  private long lastFailureMs = Long.MIN_VALUE / 2;
  private int ejections;
  private long ejectedUntilMs = Long.MIN_VALUE;
  private String probeAttemptId = "";

  /** Records the result of an attempt; returns whether it ejects the endpoint. */
  boolean onUse(SlotUse use, long nowMs) {
    switch (use.result()) {
      case UNREACHABLE:
        return recordFailure(UNREACHABLE_WEIGHT, nowMs);
      case BROKEN:
        return recordFailure(BROKEN_WEIGHT, nowMs);
      case REJECTED:
        return recordFailure(REJECTED_WEIGHT, nowMs);
      case COMPLETED:
        reset();
        return false;
      default:
        if (use.outputTokens() > 0 && !isEjected(nowMs)) {
          reset();
        }
        return false;
    }
  }

  private boolean recordFailure(int weight, long nowMs) {
    if (isEjected(nowMs)) {
      return false;
    }
    failureScore = nowMs - lastFailureMs > FAILURE_WINDOW_MS ? weight : failureScore + weight;
    lastFailureMs = nowMs;
    if (failureScore < EJECTION_THRESHOLD && ejections == 0) {
      return false;
    }
    long doubled = BASE_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS);
    ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, doubled);
    ejections++;
    failureScore = 0;
    return true;
  }

  private void reset() {
    failureScore = 0;
    ejections = 0;
    ejectedUntilMs = Long.MIN_VALUE;
  }

  /** Returns whether the endpoint gets no request now: it is ejected or being probed. */
  boolean isBlocked(long nowMs) {
    return isEjected(nowMs) || (isHalfOpen() && !probeAttemptId.isEmpty());
  }

  private boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  private boolean isHalfOpen() {
    return ejections > 0;
  }

  /** Records that an attempt holds a slot; the first one after an ejection is the probe. */
  void onSlotHeld(String attemptId) {
    if (isHalfOpen() && probeAttemptId.isEmpty()) {
      probeAttemptId = attemptId;
    }
  }

  /** Records that an attempt has released its slot. */
  void onSlotFreed(String attemptId) {
    if (probeAttemptId.equals(attemptId)) {
      probeAttemptId = "";
    }
  }

  /** Returns the number of ejections since the endpoint last answered. */
  int ejections() {
    return ejections;
  }
}
