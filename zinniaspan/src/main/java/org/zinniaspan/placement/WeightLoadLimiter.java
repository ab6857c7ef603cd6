package org.zinniaspan.placement;

/**
 * Rate limiter for loads from the weight store: each load delays the next by its own duration.
 *
 * <p>A new limiter starts with the debt of the largest load that the previous placer may just have
 * started. Not thread-safe.
 */
final class WeightLoadLimiter {

  private final double msPerMb;
  private long nextLoadMs;

  /**
   * Creates a limiter.
   *
   * @param mbPerWindow maximum megabytes loaded in each window
   * @param windowMs length of the window in milliseconds
   * @param debtMb megabytes of a load that counts as started now
   * @param nowMs time of creation in milliseconds
   */
  WeightLoadLimiter(int mbPerWindow, long windowMs, int debtMb, long nowMs) {
    this.msPerMb = (double) windowMs / mbPerWindow;
    this.nextLoadMs = nowMs + durationMs(debtMb);
  }

  /** Starts a load of the given size; returns false if the time of the previous one is not over. */
  boolean tryAcquire(int mb, long nowMs) {
    if (nowMs < nextLoadMs) {
      return false;
    }
    nextLoadMs = nowMs + durationMs(mb);
    return true;
  }

  private long durationMs(int mb) {
    return Math.round(mb * msPerMb);
  }
}
