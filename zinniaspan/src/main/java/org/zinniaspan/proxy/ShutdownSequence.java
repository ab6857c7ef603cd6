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
final class ShutdownSequence {

  /** Time in which the balancer sends no more connections: two checks a second apart, in ms. */
  private static final long READINESS_NOTICE_MS = 2_600;

  /** Time before the platform kills the process at which it ends by itself, in milliseconds. */
  private static final long EXIT_MARGIN_MS = 400;

  private final Clock clock;
  private final long graceMs;
  private long startedMs = -1;

  ShutdownSequence(Clock clock, long graceMs) {
    this.clock = clock;
    this.graceMs = graceMs;
  }

  /** Begins the stop. */
  void start() {
    if (startedMs < 0) {
      startedMs = clock.nowMs();
      EventLog.event("stopping").with("graceMs", graceMs).info();
    }
  }

  boolean isStopping() {
    return startedMs >= 0;
  }

  /** Returns whether new requests are refused and idle connections closed. */
  boolean refusesNewRequests(long nowMs) {
    return isStopping() && nowMs - startedMs >= Math.min(READINESS_NOTICE_MS, graceMs / 2);
  }

  /** Returns whether the process ends now. */
  boolean shouldExit(long nowMs, int inFlight) {
    return (refusesNewRequests(nowMs) && inFlight == 0)
        || (isStopping() && nowMs - startedMs >= graceMs - EXIT_MARGIN_MS);
  }
}
