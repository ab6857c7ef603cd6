package org.zinniaspan.testkit;

import org.zinniaspan.clock.Clock;

/** A clock that only tests move. */
public final class VirtualClock implements Clock {

  private long nowMs;

  /** Creates a clock that shows the given time in milliseconds. */
  public VirtualClock(long nowMs) {
    this.nowMs = nowMs;
  }

  @Override
  public synchronized long nowMs() {
    return nowMs;
  }

  /** Moves the clock; it never goes back. */
  public synchronized void set(long timeMs) {
    nowMs = Math.max(nowMs, timeMs);
  }

  /** Moves the clock on. */
  public synchronized void advance(long ms) {
    nowMs += ms;
  }
}
