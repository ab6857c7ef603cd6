package org.zinniaspan.dispatch;

import java.util.OptionalDouble;

/** Estimates how long an ask waits behind others, from the measured rate of freed slots. */
final class WaitEstimate {

  /** Milliseconds after which to ask again while nothing was measured. */
  static final long UNKNOWN_RETRY_MS = 1_000;

  private static final long MIN_RETRY_MS = 100;
  private static final long MAX_RETRY_MS = 30_000;

  private final DrainRate drain;
  private final QueueLimits limits;

  WaitEstimate(DrainRate drain, QueueLimits limits) {
    this.drain = drain;
    this.limits = limits;
  }

  /**
   * Returns the milliseconds until a tier's ask gets a slot, zero while nothing was measured.
   *
   * @param ahead asks that are served first
   */
  double waitMs(int tier, int ahead, long nowMs) {
    OptionalDouble total = drain.slotsPerMs();
    if (total.isEmpty() || total.getAsDouble() <= 0 || ahead < 0) {
      return 0;
    }
    double least = total.getAsDouble() / limits.grantsBetweenGates();
    double left = total.getAsDouble() - drain.grantsAbove(tier, nowMs);
    return (ahead + 1) / Math.max(least, left);
  }

  /** Returns when to ask again, for an ask that would have to wait for the given time. */
  long retryAfterMs(double waitMs) {
    if (waitMs == 0) {
      return UNKNOWN_RETRY_MS;
    }
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, Math.round(waitMs)));
  }
}
