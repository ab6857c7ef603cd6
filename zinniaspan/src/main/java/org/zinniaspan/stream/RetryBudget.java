package org.zinniaspan.stream;

import org.zinniaspan.clock.Clock;

/**
 * Limits the retries of a process to a share of its successes plus a small rate.
 *
 * <p>State is guarded by this object's lock.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double MOST_SAVED = 100;

  private final double shareOfSuccesses;
  private final double floorPerSecond;
  private final Clock clock;
  private double saved;
  private long filledMs;

  /**
   * Creates a budget that starts with ten seconds' worth of its floor.
   *
   * @param shareOfSuccesses retries that each success allows, as 0.2
   * @param floorPerSecond retries that each second allows
   * @param clock source of time
   */
  public RetryBudget(double shareOfSuccesses, double floorPerSecond, Clock clock) {
    this.shareOfSuccesses = shareOfSuccesses;
    this.floorPerSecond = floorPerSecond;
    this.clock = clock;
    this.saved = Math.min(MOST_SAVED, 10 * floorPerSecond);
    this.filledMs = clock.nowMs();
  }

  /** Counts a success. */
  public synchronized void onSuccess() {
    saved = Math.min(MOST_SAVED, saved + shareOfSuccesses);
  }

  /** Takes one retry; returns false, and takes nothing, if none is left. */
  public synchronized boolean tryTake() {
    refill();
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }

  private void refill() {
    long now = clock.nowMs();
    saved = Math.min(MOST_SAVED, saved + (now - filledMs) / MS_PER_SECOND * floorPerSecond);
    filledMs = now;
  }
}
