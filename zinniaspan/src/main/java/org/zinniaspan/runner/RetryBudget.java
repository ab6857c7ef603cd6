package org.zinniaspan.runner;

/**
 * Permits retries as a share of successes.
 *
 * <p>State is guarded by this object's lock.
 */
final class RetryBudget {

  private static final double MAX_SAVED = 10.0;

  private final double sharePerSuccess;
  private double saved = 1.0;

  /** Creates a budget of the given retries for each success, with one retry in stock. */
  RetryBudget(double sharePerSuccess) {
    this.sharePerSuccess = sharePerSuccess;
  }

  /** Records a success. */
  synchronized void succeeded() {
    saved = Math.min(MAX_SAVED, saved + sharePerSuccess);
  }

  /** Takes one retry out of the budget; returns false if there is none. */
  synchronized boolean take() {
    if (saved < 1.0) {
      return false;
    }
    saved -= 1.0;
    return true;
  }
}
