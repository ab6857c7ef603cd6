package org.zinniaspan.forwarding;

/**
 * This VM's share of the retry budget that all VMs draw on together.
 *
 * <p>Each VM earns retries only from its own requests, so that the sum stays within the ratio
 * without the VMs knowing of each other. Retries are kept for each service by itself.
 */
public final class RetryAllowance {

  /** Retries that may be saved up, of the slack that the budget leaves besides its ratio. */
  private static final double MOST_SAVED = 4;

  private final double retriesPerRequest;
  private double saved = 1;

  /**
   * Creates an allowance with one retry.
   *
   * @param retriesPerRequest retries that each request earns, as 0.2
   */
  public RetryAllowance(double retriesPerRequest) {
    this.retriesPerRequest = retriesPerRequest;
  }

  /** Counts a request of a client. */
  public void onRequest() {
    saved = Math.min(MOST_SAVED, saved + retriesPerRequest);
  }

  /** Takes one retry; returns false, and takes nothing, if none is left. */
  public boolean tryTake() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
