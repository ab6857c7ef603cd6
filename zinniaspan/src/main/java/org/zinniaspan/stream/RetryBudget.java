package org.zinniaspan.stream;

import org.zinniaspan.clock.Clock;

/**
 * Limits the retries of a process to a share of its successes plus a small rate.
 *
 * <p>State is guarded by this object's lock.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double MAX_BALANCE = 100;

  private final double retryRatio;
  private final double minRetriesPerSecond;
  private final Clock clock;
  private double balance;
  private long refilledMs;

  /**
   * Creates a budget that starts with ten seconds' worth of its floor.
   *
   * @param retryRatio retries that each success allows, as 0.2
   * @param minRetriesPerSecond retries that each second allows
   * @param clock source of time
   */
  public RetryBudget(double retryRatio, double minRetriesPerSecond, Clock clock) {
    this.retryRatio = retryRatio;
    this.minRetriesPerSecond = minRetriesPerSecond;
    this.clock = clock;
    this.balance = Math.min(MAX_BALANCE, 10 * minRetriesPerSecond);
    this.refilledMs = clock.nowMs();
  }

  /** Counts a success. */
  public synchronized void onSuccess() {
    balance = Math.min(MAX_BALANCE, balance + retryRatio);
  }

  /** Takes one retry; returns false, and takes nothing, if none is left. */
  public synchronized boolean tryAcquire() {
    refill();
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }

  private void refill() {
    long now = clock.nowMs();
    balance =
        Math.min(MAX_BALANCE, balance + (now - refilledMs) / MS_PER_SECOND * minRetriesPerSecond);
    refilledMs = now;
  }
}
