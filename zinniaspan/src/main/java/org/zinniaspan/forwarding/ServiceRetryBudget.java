package org.zinniaspan.forwarding;

/**
 * This VM's part of the retry budget of a service, as a token bucket.
 *
 * <p>Requests add to the budget, retries draw on it. Each VM counts only its own requests, so that
 * the retries of all VMs together stay within the ratio without coordination. Each service has a
 * budget of its own.
 */
public final class ServiceRetryBudget {

  /**
   * Largest number of saved retries: this VM's part of the slack that the overall budget allows
   * besides its ratio.
   */
  private static final double MAX_SAVED_RETRIES = 4;

  private final double retriesPerRequest;
  private double savedRetries = 1;

  /**
   * Creates a budget that holds one retry.
   *
   * @param retriesPerRequest retries that each request adds, such as 0.2
   */
  public ServiceRetryBudget(double retriesPerRequest) {
    this.retriesPerRequest = retriesPerRequest;
  }

  /** Adds the share of a client's request. */
  public void onRequest() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retriesPerRequest);
  }

  /** Takes one retry if one is available; otherwise returns false and takes nothing. */
  public boolean tryAcquire() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries--;
    return true;
  }
}
