package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.zinniaspan.clock.Clock;

/**
 * Keeps requests from endpoints that reject one and state when to come back, until then.
 *
 * <p>A statement concerns one incarnation of an endpoint and this VM alone. Not thread-safe.
 */
public final class EndpointBackoff {

  /** Longest time for which an endpoint's Retry-After is followed, in milliseconds. */
  private static final long MAX_PAUSE_MS = 60_000;

  private final Clock clock;
  private final Map<EndpointIncarnation, Long> pausedUntilMs = new HashMap<>();

  /** Creates a state in which all endpoints take requests. */
  public EndpointBackoff(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that an endpoint rejected a request and stated when to come back.
   *
   * @param retryAfterMs time for which it takes nothing from this VM, in milliseconds
   */
  public void onRejected(ListedEndpoint endpoint, long retryAfterMs) {
    long now = clock.nowMs();
    pausedUntilMs.values().removeIf(ms -> ms <= now);
    long untilMs = now + Math.min(retryAfterMs, MAX_PAUSE_MS);
    pausedUntilMs.merge(EndpointIncarnation.of(endpoint), untilMs, Math::max);
  }

  /** Returns whether an endpoint takes another request of this VM now. */
  public boolean admits(ListedEndpoint endpoint) {
    return remainingMs(endpoint) <= 0;
  }

  /** Returns the time until an endpoint takes requests again, in milliseconds. */
  public long remainingMs(ListedEndpoint endpoint) {
    Long until = pausedUntilMs.get(EndpointIncarnation.of(endpoint));
    return until == null ? 0 : Math.max(0, until - clock.nowMs());
  }
}
