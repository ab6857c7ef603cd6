package org.zinniaspan.routing;

import org.zinniaspan.dispatch.SlotUse;

/**
 * Ejects an endpoint that fails, for a bounded time that grows, and lets one request probe it then.
 *
 * <p>Not thread-safe; its owner guards it.
 */
final class EndpointHealth {

  private static final int EJECTING_WEIGHT = 6;
  private static final int UNREACHABLE_WEIGHT = 6;
  private static final int BROKEN_WEIGHT = 3;
  private static final int REJECTED_WEIGHT = 2;
  private static final long FAILURE_MEMORY_MS = 5_000;
  private static final long FIRST_EJECTION_MS = 1_000;
  private static final long LONGEST_EJECTION_MS = 30_000;
  private static final int MOST_DOUBLINGS = 5;

  private int weight;
  private long lastFailureMs = Long.MIN_VALUE / 2;
  private int ejections;
  private long ejectedUntilMs = Long.MIN_VALUE;
  private String probe = "";

  /** Learns from a use; returns whether it ejected the endpoint. */
  boolean onUse(SlotUse use, long nowMs) {
    switch (use.result()) {
      case UNREACHABLE:
        return fail(UNREACHABLE_WEIGHT, nowMs);
      case BROKEN:
        return fail(BROKEN_WEIGHT, nowMs);
      case REJECTED:
        return fail(REJECTED_WEIGHT, nowMs);
      case COMPLETED:
        recover();
        return false;
      default:
        if (use.outputTokens() > 0 && !isEjected(nowMs)) {
          recover();
        }
        return false;
    }
  }

  private boolean fail(int added, long nowMs) {
    if (isEjected(nowMs)) {
      return false;
    }
    weight = nowMs - lastFailureMs > FAILURE_MEMORY_MS ? added : weight + added;
    lastFailureMs = nowMs;
    if (weight < EJECTING_WEIGHT && ejections == 0) {
      return false;
    }
    long doubled = FIRST_EJECTION_MS << Math.min(ejections, MOST_DOUBLINGS);
    ejectedUntilMs = nowMs + Math.min(LONGEST_EJECTION_MS, doubled);
    ejections++;
    weight = 0;
    return true;
  }

  private void recover() {
    weight = 0;
    ejections = 0;
    ejectedUntilMs = Long.MIN_VALUE;
  }

  /** Returns whether the endpoint should get no request now. */
  boolean isOut(long nowMs) {
    return isEjected(nowMs) || (isHalfOpen() && !probe.isEmpty());
  }

  private boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  private boolean isHalfOpen() {
    return ejections > 0;
  }

  /** Records that an attempt holds a slot; after an ejection the first one probes. */
  void onHold(String attemptId) {
    if (isHalfOpen() && probe.isEmpty()) {
      probe = attemptId;
    }
  }

  /** Records that an attempt holds no slot any more. */
  void onFree(String attemptId) {
    if (probe.equals(attemptId)) {
      probe = "";
    }
  }

  /** Returns how often it was ejected since it last answered. */
  int ejections() {
    return ejections;
  }
}
