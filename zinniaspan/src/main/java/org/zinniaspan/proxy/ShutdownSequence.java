package org.zinniaspan.proxy;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * The phases of a graceful shutdown.
 *
 * <p>First the VM reports that it is not ready, and still serves new requests. Once the load
 * balancer has had time to notice, new requests are refused and idle connections are closed. The
 * process exits when no request is in flight, or shortly before the grace period ends.
 */
final class ShutdownSequence {

  /**
   * Time after which the load balancer has noticed and sends no more connections, in milliseconds:
   * it makes two checks, one second apart.
   */
  private static final long READINESS_NOTICE_MS = 2_600;

  /** How long before the platform kills the process it exits by itself, in milliseconds. */
  private static final long EXIT_MARGIN_MS = 400;

  private final Clock clock;
  private final long graceMs;
  private long startedMs = -1;

  ShutdownSequence(Clock clock, long graceMs) {
    this.clock = clock;
    this.graceMs = graceMs;
  }

  /** Starts the shutdown; further calls have no effect. */
  void start() {
    if (startedMs < 0) {
      startedMs = clock.nowMs();
      EventLog.event("stopping").with("graceMs", graceMs).info();
    }
  }

  boolean isStopping() {
    return startedMs >= 0;
  }

  /**
   * Returns whether new requests are refused and idle connections closed: after the notice time, or
   * after half of the grace period if that is shorter.
   */
  boolean refusesNewRequests(long nowMs) {
    return isStopping() && nowMs - startedMs >= Math.min(READINESS_NOTICE_MS, graceMs / 2);
  }

  /** Returns whether the process exits now. */
  boolean shouldExit(long nowMs, int inFlight) {
    return (refusesNewRequests(nowMs) && inFlight == 0)
        || (isStopping() && nowMs - startedMs >= graceMs - EXIT_MARGIN_MS);
  }
}
