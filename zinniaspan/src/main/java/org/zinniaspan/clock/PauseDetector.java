package org.zinniaspan.clock;

/**
 * Detects that the process was paused, by gaps between calls.
 *
 * <p>Call {@link #observe} at least every {@code maxGapMs} milliseconds, and before acting on state
 * that may be stale. After a pause, state obtained before it must be refreshed.
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
   * @param maxGapMs longest gap between two calls that does not count as a pause, in milliseconds
   */
  public PauseDetector(Clock clock, long maxGapMs) {
    this.clock = clock;
    this.maxGapMs = maxGapMs;
    this.lastObservedMs = clock.nowMs();
    this.lastPauseEndMs = Long.MIN_VALUE;
  }

  /** Records that the process is running; returns whether it was paused since the last call. */
  public synchronized boolean observe() {
    long now = clock.nowMs();
    boolean paused = now - lastObservedMs > maxGapMs;
    if (paused) {
      lastPauseEndMs = now;
    }
    lastObservedMs = now;
    return paused;
  }

  /** Returns whether a pause ended after the given time, in milliseconds since the epoch. */
  public synchronized boolean pausedSince(long timeMs) {
    observe();
    return lastPauseEndMs > timeMs;
  }
}
