package org.zinniaspan.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;

/**
 * Keeps requests from endpoints that rejected one and stated when to come back.
 *
 * <p>The statement concerns one incarnation of an endpoint and this VM. Not thread-safe.
 */
public final class EndpointBackoff {

  /** Longest time for which an endpoint's statement is followed, in milliseconds. */
  private static final long MAX_PAUSE_MS = 60_000;

  private record Incarnation(String id, long startedAtMs) {
    static Incarnation of(ListedEndpoint endpoint) {
      return new Incarnation(endpoint.id(), endpoint.startedAtMs());
    }
  }

  private final Clock clock;
  private final Map<Incarnation, Long> pausedUntilMs = new HashMap<>();

  /** Creates a state in which all endpoints take requests. */
  public EndpointBackoff(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that an endpoint rejected a request.
   *
   * @param retryAfterMs time for which it takes nothing from this VM, in milliseconds, if stated
   */
  public void onRejected(ListedEndpoint endpoint, Optional<Long> retryAfterMs) {
    long now = clock.nowMs();
    pausedUntilMs.values().removeIf(ms -> ms <= now);
    retryAfterMs.ifPresent(
        ms ->
            pausedUntilMs.merge(
                Incarnation.of(endpoint), now + Math.min(ms, MAX_PAUSE_MS), Math::max));
  }

  /** Returns whether an endpoint takes requests of this VM now. */
  public boolean admits(ListedEndpoint endpoint) {
    return remainingMs(endpoint) <= 0;
  }

  /** Returns the time until the first of some endpoints takes requests again, in milliseconds. */
  public long remainingMs(Collection<TrackedEndpoint> endpoints) {
    return endpoints.stream().mapToLong(e -> remainingMs(e.listed())).min().orElse(0);
  }

  private long remainingMs(ListedEndpoint endpoint) {
    Long until = pausedUntilMs.get(Incarnation.of(endpoint));
    return until == null ? 0 : Math.max(0, until - clock.nowMs());
  }
}
