package org.zinniaspan.placement;

/**
 * Holds the rate of the weight store: a load may begin once the one before would have been read.
 *
 * <p>A new budget starts with the debt of the largest load that a former placer may just have
 * begun. Not safe for use by several threads.
 */
final class WeightLoadLimiter {

  private final double msPerMb;
  private long nextLoadMs;

  /**
   * Creates a budget.
   *
   * @param mbPerWindow megabytes that may be loaded in each window
   * @param windowMs length of the window in milliseconds
   * @param debtMb megabytes that count as spent now
   * @param nowMs time of creation
   */
  WeightLoadLimiter(int mbPerWindow, long windowMs, int debtMb, long nowMs) {
    this.msPerMb = (double) windowMs / mbPerWindow;
    this.nextLoadMs = nowMs + durationMs(debtMb);
  }

  /** Spends the megabytes if no earlier load is still being paid for. */
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
