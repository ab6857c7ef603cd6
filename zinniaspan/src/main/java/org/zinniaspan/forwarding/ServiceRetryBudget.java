package org.zinniaspan.forwarding;

/**
 * This VM's share of the retry budget that all VMs draw on together.
 *
 * <p>Each VM earns retries only from its own requests, so that the sum stays within the ratio
 * without the VMs knowing of each other. Retries are kept for each service by itself.
 */
public final class ServiceRetryBudget {

  /** Retries that may be saved up, of the slack that the budget leaves besides its ratio. */
  private static final double MAX_SAVED_RETRIES = 4;

  private final double retriesPerRequest;
  private double savedRetries = 1;

  /**
   * Creates an allowance with one retry.
   *
   * @param retriesPerRequest retries that each request earns, as 0.2
   */
  public ServiceRetryBudget(double retriesPerRequest) {
    this.retriesPerRequest = retriesPerRequest;
  }

  /** Counts a request of a client. */
  public void onRequest() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retriesPerRequest);
  }

  /** Takes one retry; returns false, and takes nothing, if none is left. */
  public boolean tryAcquire() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries--;
    return true;
  }
}
