package org.zinniaspan.runner;

import org.zinniaspan.clock.Clock;

/**
 * Tells since when a request may have waited in this VM.
 *
 * <p>Requests that arrive while the process is paused are read only after it has woken; they count
 * as having arrived when the pause began. State is guarded by this object's lock.
 */
final class ArrivalTimes {

  private static final long AFTER_PAUSE_MS = 1_000;

  private final Clock clock;
  private final long maxGapMs;
  private long lastSeenMs;
  private long pauseStartMs;
  private long suspectUntilMs = Long.MIN_VALUE;

  /** Creates it with the longest gap, in milliseconds, that does not count as a pause. */
  ArrivalTimes(Clock clock, long maxGapMs) {
    this.clock = clock;
    this.maxGapMs = maxGapMs;
    this.lastSeenMs = clock.nowMs();
  }

  /** Records that the process runs now. */
  synchronized void observe() {
    long nowMs = clock.nowMs();
    if (nowMs - lastSeenMs > maxGapMs) {
      pauseStartMs = nowMs < suspectUntilMs ? pauseStartMs : lastSeenMs;
      suspectUntilMs = nowMs + AFTER_PAUSE_MS;
    }
    lastSeenMs = nowMs;
  }

  /** Returns whether the process has only just woken, so that what it hears may be old. */
  synchronized boolean isJustAwake() {
    observe();
    return lastSeenMs < suspectUntilMs;
  }

  /** Returns the earliest time at which a request that is read now may have arrived. */
  synchronized long earliestMs() {
    observe();
    return lastSeenMs < suspectUntilMs ? pauseStartMs : lastSeenMs;
  }
}
