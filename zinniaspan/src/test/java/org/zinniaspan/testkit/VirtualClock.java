package org.zinniaspan.testkit;

import org.zinniaspan.clock.Clock;

/** Provides a time that advances only when a test sets it. */
public final class VirtualClock implements Clock {

  private long nowMs;

  /** Creates a clock at the given time, in milliseconds. */
  public VirtualClock(long nowMs) {
    this.nowMs = nowMs;
  }

  @Override
  public synchronized long nowMs() {
    return nowMs;
  }

  /** Sets the time in milliseconds; an earlier time than the present one is ignored. */
  public synchronized void set(long timeMs) {
    nowMs = Math.max(nowMs, timeMs);
  }

  /** Advances the time by the given number of milliseconds. */
  public synchronized void advance(long ms) {
    nowMs += ms;
  }
}
