package org.zinniaspan.runner;

import org.zinniaspan.clock.Clock;

/**
 * Estimates the earliest time at which a request that is read now may have arrived at this VM.
 *
 * <p>Requests that arrive while the process is paused are read only after it resumes; they count as
 * having arrived when the pause began. State is guarded by this object's lock.
 */
final class ArrivalTimeEstimator {

  private static final long SUSPECT_AFTER_PAUSE_MS = 1_000;

  private final Clock clock;
  private final long maxGapMs;
  private long lastObservedMs;
  private long pauseStartMs;
  private long suspectUntilMs = Long.MIN_VALUE;

  /**
   * Creates an estimator.
   *
   * @param clock source of time
   * @param maxGapMs longest time, in milliseconds, between two observations that does not count as
   *     a pause
   */
  ArrivalTimeEstimator(Clock clock, long maxGapMs) {
    this.clock = clock;
    this.maxGapMs = maxGapMs;
    this.lastObservedMs = clock.nowMs();
  }

  /** Records that the process is running now, and detects a pause before this call. */
  synchronized void observe() {
    long nowMs = clock.nowMs();
    if (nowMs - lastObservedMs > maxGapMs) {
      pauseStartMs = nowMs < suspectUntilMs ? pauseStartMs : lastObservedMs;
      suspectUntilMs = nowMs + SUSPECT_AFTER_PAUSE_MS;
    }
    lastObservedMs = nowMs;
  }

  /** Returns whether the process resumed only recently, so that messages it reads may be old. */
  synchronized boolean isJustResumed() {
    observe();
    return lastObservedMs < suspectUntilMs;
  }

  /**
   * Returns the earliest time, in milliseconds, at which a request that is read now may have
   * arrived.
   */
  synchronized long earliestArrivalMs() {
    observe();
    return lastObservedMs < suspectUntilMs ? pauseStartMs : lastObservedMs;
  }
}
