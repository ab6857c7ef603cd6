package org.zinniaspan.proxy;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * The phases of a planned stop.
 *
 * <p>First the VM is not ready, and still serves what arrives. Once the balancer has had time to
 * notice, new requests are refused and idle connections closed. The process ends when no request is
 * left, or when its time is over.
 */
final class StopPlan {

  /** Time in which the balancer sends no more connections: two checks a second apart, in ms. */
  private static final long NOTICE_MS = 2_600;

  /** Time before the platform kills the process at which it ends by itself, in milliseconds. */
  private static final long END_MARGIN_MS = 400;

  private final Clock clock;
  private final long graceMs;
  private long stoppedMs = -1;

  StopPlan(Clock clock, long graceMs) {
    this.clock = clock;
    this.graceMs = graceMs;
  }

  /** Begins the stop. */
  void stop() {
    if (stoppedMs < 0) {
      stoppedMs = clock.nowMs();
      EventLog.event("stopping").with("graceMs", graceMs).info();
    }
  }

  boolean isStopping() {
    return stoppedMs >= 0;
  }

  /** Returns whether new requests are refused and idle connections closed. */
  boolean refusesNew(long nowMs) {
    return isStopping() && nowMs - stoppedMs >= Math.min(NOTICE_MS, graceMs / 2);
  }

  /** Returns whether the process ends now. */
  boolean ends(long nowMs, int inFlight) {
    return (refusesNew(nowMs) && inFlight == 0)
        || (isStopping() && nowMs - stoppedMs >= graceMs - END_MARGIN_MS);
  }
}
