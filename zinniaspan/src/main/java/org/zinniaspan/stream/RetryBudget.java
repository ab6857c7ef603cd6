package org.zinniaspan.stream;

import org.zinniaspan.clock.Clock;

/**
 * Retry budget: limits the retries of a process to a ratio of its successes plus a minimum rate.
 *
 * <p>A token bucket: successes and time add to the balance, and each retry takes one from it.
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
   * Creates a budget whose initial balance is ten seconds of the minimum rate.
   *
   * @param retryRatio retries added by each success, such as 0.2
   * @param minRetriesPerSecond retries added each second, with or without successes
   * @param clock clock that refills the budget
   */
  public RetryBudget(double retryRatio, double minRetriesPerSecond, Clock clock) {
    this.retryRatio = retryRatio;
    this.minRetriesPerSecond = minRetriesPerSecond;
    this.clock = clock;
    this.balance = Math.min(MAX_BALANCE, 10 * minRetriesPerSecond);
    this.refilledMs = clock.nowMs();
  }

  /** Records a success. */
  public synchronized void onSuccess() {
    balance = Math.min(MAX_BALANCE, balance + retryRatio);
  }

  /** Takes one retry from the budget; returns false and takes nothing if less than one is left. */
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
