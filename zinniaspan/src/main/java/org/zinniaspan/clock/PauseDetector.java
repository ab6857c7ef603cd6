package org.zinniaspan.clock;

/**
 * Notices that the process did not run for a while.
 *
 * <p>Call {@link #observe} at least every {@code maxGapMs} milliseconds, and before acting on a
 * fact that may have aged. After a pause, facts learned before it must be renewed.
 */
public final class PauseDetector {

  private final Clock clock;
  private final long maxGapMs;
  private long lastObservedMs;
  private long lastPauseEndMs;

  /**
   * Creates a detector.
   *
   * @param clock source of time
   * @param maxGapMs longest gap, in milliseconds, that does not count as a pause
   */
  public PauseDetector(Clock clock, long maxGapMs) {
    this.clock = clock;
    this.maxGapMs = maxGapMs;
    this.lastObservedMs = clock.nowMs();
    this.lastPauseEndMs = Long.MIN_VALUE;
  }

  /** Records that the process runs now, and returns true if it was paused since the last call. */
  public synchronized boolean observe() {
    long now = clock.nowMs();
    boolean paused = now - lastObservedMs > maxGapMs;
    if (paused) {
      lastPauseEndMs = now;
    }
    lastObservedMs = now;
    return paused;
  }

  /** Returns whether a pause ended after the given time in milliseconds. */
  public synchronized boolean pausedSince(long timeMs) {
    observe();
    return lastPauseEndMs > timeMs;
  }
}
