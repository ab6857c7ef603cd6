package org.zinniaspan.dispatch;

import java.util.OptionalDouble;

/** Estimates how long a request waits, from the measured rate at which slots become free. */
final class WaitEstimator {

  /** Milliseconds after which to retry while nothing was measured. */
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
   * Returns the milliseconds until a request of a tier gets a slot, zero while nothing was
   * measured.
   *
   * <p>The tier gets the rate that higher tiers leave, but at least one in {@link
   * QueueLimits#grantsBetweenStarved} of the freed slots.
   *
   * @param ahead number of requests that are served first
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

  /**
   * Returns the milliseconds after which to retry, for a request that would wait for the given
   * time.
   */
  long retryAfterMs(double waitMs) {
    if (waitMs == 0) {
      return DEFAULT_RETRY_AFTER_MS;
    }
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
  }
}
