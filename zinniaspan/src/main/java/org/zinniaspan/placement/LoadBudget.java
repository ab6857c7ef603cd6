package org.zinniaspan.placement;

/**
 * Holds the rate of the weight store: a load may begin once the one before would have been read.
 *
 * <p>A new budget starts with the debt of the largest load that a former placer may just have
 * begun. Not safe for use by several threads.
 */
final class LoadBudget {

  private final double msPerMb;
  private long freeAtMs;

  /**
   * Creates a budget.
   *
   * @param mbPerWindow megabytes that may be loaded in each window
   * @param windowMs length of the window in milliseconds
   * @param debtMb megabytes that count as spent now
   * @param nowMs time of creation
   */
  LoadBudget(int mbPerWindow, long windowMs, int debtMb, long nowMs) {
    this.msPerMb = (double) windowMs / mbPerWindow;
    this.freeAtMs = nowMs + durationMs(debtMb);
  }

  /** Spends the megabytes if no earlier load is still being paid for. */
  boolean trySpend(int mb, long nowMs) {
    if (nowMs < freeAtMs) {
      return false;
    }
    freeAtMs = nowMs + durationMs(mb);
    return true;
  }

  private long durationMs(int mb) {
    return Math.round(mb * msPerMb);
  }
}
