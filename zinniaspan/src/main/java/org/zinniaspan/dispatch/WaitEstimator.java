package org.zinniaspan.dispatch;

import java.util.OptionalDouble;

/** Estimates how long an ask waits behind others, from the measured rate of freed slots. */
final class WaitEstimator {

  /** Milliseconds after which to ask again while nothing was measured. */
  static final long DEFAULT_RETRY_AFTER_MS = 1_000;

  private static final long MIN_RETRY_AFTER_MS = 100;
  private static final long MAX_RETRY_AFTER_MS = 30_000;

  private final SlotReleaseRate releaseRate;
  private final QueueLimits limits;

  WaitEstimator(SlotReleaseRate releaseRate, QueueLimits limits) {
    this.releaseRate = releaseRate;
    this.limits = limits;
  }

  /**
   * Returns the milliseconds until a tier's ask gets a slot, zero while nothing was measured.
   *
   * @param ahead asks that are served first
   */
  double waitMs(int tier, int ahead, long nowMs) {
    OptionalDouble totalPerMs = releaseRate.slotsPerMs();
    if (totalPerMs.isEmpty() || totalPerMs.getAsDouble() <= 0 || ahead < 0) {
      return 0;
    }
    double minPerMs = totalPerMs.getAsDouble() / limits.grantsBetweenStarved();
    double remainingPerMs = totalPerMs.getAsDouble() - releaseRate.grantsAbove(tier, nowMs);
    return (ahead + 1) / Math.max(minPerMs, remainingPerMs);
  }

  /** Returns when to ask again, for an ask that would have to wait for the given time. */
  long retryAfterMs(double waitMs) {
    if (waitMs == 0) {
      return DEFAULT_RETRY_AFTER_MS;
    }
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
  }
}
