package org.zinniaspan.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Keeps requests from endpoints that reject some for lack of room.
 *
 * <p>An endpoint that rejects a request and states when to come back gets nothing until then.
 *
 * <p>An endpoint that states a rejection limit fails if it has to reject more requests in a second,
 * whichever VMs send them. While it does, each VM keeps the requests in progress there below its
 * share of the slots. A rejection lowers that cap and pauses the endpoint, for so long that all VMs
 * together cause about half of the rejections that it tolerates; each answer raises the cap a
 * little.
 *
 * <p>All statements concern one incarnation of an endpoint. Not thread-safe.
 */
public final class EndpointBackoff {

  /** Longest time for which an endpoint's Retry-After is followed, in milliseconds. */
  private static final long MAX_PAUSE_MS = 60_000;

  /** Time after which a stated rejection limit is outdated, in milliseconds. */
  private static final long LIMIT_AGE_MS = 10_000;

  /** Share of a rejection limit that the VMs use. */
  private static final double USED_REJECTION_SHARE = 0.5;

  /** Factor by which a rejection lowers the cap. */
  private static final double CAP_DECREASE = 0.7;

  /** Amount by which as many answers as the cap raise it, in requests. */
  private static final double CAP_INCREASE = 0.1;

  private static final double MS_PER_SECOND = 1_000;

  private record Incarnation(String id, long startedAtMs) {
    static Incarnation of(ListedEndpoint endpoint) {
      return new Incarnation(endpoint.id(), endpoint.startedAtMs());
    }
  }

  /** How an endpoint with a rejection limit is used; the time is that of its last statement. */
  private static final class LimitedUse {
    private int rejectionsPerSecond;
    private double cap;
    private long statedMs;
  }

  private final Clock clock;
  private final Random random;
  private final IntSupplier vmCount;
  private final Map<Incarnation, Long> pausedUntilMs = new HashMap<>();
  private final Map<Incarnation, LimitedUse> limitedUse = new HashMap<>();

  /**
   * Creates a state in which all endpoints take requests.
   *
   * @param vmCount number of VMs that send to the endpoints, as far as they are known
   */
  public EndpointBackoff(Clock clock, Random random, IntSupplier vmCount) {
    this.clock = clock;
    this.random = random;
    this.vmCount = vmCount;
  }

  /**
   * Records what a response of an endpoint states.
   *
   * @param rejectionsPerSecond number of rejections in a second beyond which it fails, if it states
   *     such a limit
   */
  public void onResponse(ListedEndpoint endpoint, Optional<Integer> rejectionsPerSecond) {
    Incarnation key = Incarnation.of(endpoint);
    if (rejectionsPerSecond.isEmpty()) {
      limitedUse.remove(key);
      return;
    }
    LimitedUse state = limitedUse.get(key);
    if (state == null || isOutdated(state)) {
      state = new LimitedUse();
      state.cap = Math.max(1, (double) endpoint.slots() / vms());
      limitedUse.put(key, state);
      EventLog.event("endpoint-rejection-limited")
          .with("endpoint", endpoint.id())
          .with("service", endpoint.service())
          .with("startedAtMs", endpoint.startedAtMs())
          .with("rejectionsPerSecond", rejectionsPerSecond.get())
          .with("vms", vms())
          .info();
    }
    state.rejectionsPerSecond = Math.max(1, rejectionsPerSecond.get());
    state.statedMs = clock.nowMs();
  }

  /** Records that an endpoint answered a request other than with a rejection. */
  public void onAnswered(ListedEndpoint endpoint) {
    limiting(endpoint)
        .ifPresent(
            state -> state.cap = Math.min(endpoint.slots(), state.cap + CAP_INCREASE / state.cap));
  }

  /**
   * Records that an endpoint rejected a request.
   *
   * @param inFlight number of this VM's other requests in progress there
   * @param retryAfterMs time for which it takes nothing from this VM, in milliseconds, if stated
   */
  public void onRejected(ListedEndpoint endpoint, int inFlight, Optional<Long> retryAfterMs) {
    long now = clock.nowMs();
    pausedUntilMs.values().removeIf(ms -> ms <= now);
    limitedUse.values().removeIf(this::isOutdated);
    retryAfterMs.ifPresent(ms -> pause(endpoint, Math.min(ms, MAX_PAUSE_MS)));
    limiting(endpoint)
        .ifPresent(
            state -> {
              state.cap = Math.max(1, CAP_DECREASE * Math.min(state.cap, inFlight + 1));
              double allowedPerSecond = state.rejectionsPerSecond * USED_REJECTION_SHARE / vms();
              double spacingMs = MS_PER_SECOND / allowedPerSecond;
              pause(endpoint, Math.round(spacingMs * (0.5 + random.nextDouble())));
            });
  }

  private void pause(ListedEndpoint endpoint, long forMs) {
    pausedUntilMs.merge(Incarnation.of(endpoint), clock.nowMs() + forMs, Math::max);
  }

  /** Returns whether an endpoint takes another request of this VM now. */
  public boolean admits(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    return remainingMs(listed) <= 0
        && limiting(listed).map(state -> endpoint.inFlight() < Math.floor(state.cap)).orElse(true);
  }

  /**
   * Returns whether some of these endpoints state a rejection limit, so that there may be room
   * soon.
   */
  public boolean isLimiting(Collection<TrackedEndpoint> endpoints) {
    return endpoints.stream().anyMatch(e -> limiting(e.listed()).isPresent());
  }

  /** Returns the time until an endpoint takes requests again, in milliseconds. */
  public long remainingMs(ListedEndpoint endpoint) {
    Long until = pausedUntilMs.get(Incarnation.of(endpoint));
    return until == null ? 0 : Math.max(0, until - clock.nowMs());
  }

  /** Returns whether an endpoint is known to state a rejection limit. */
  public boolean isLimited(ListedEndpoint endpoint) {
    return limiting(endpoint).isPresent();
  }

  private Optional<LimitedUse> limiting(ListedEndpoint endpoint) {
    return Optional.ofNullable(limitedUse.get(Incarnation.of(endpoint)))
        .filter(state -> !isOutdated(state));
  }

  private boolean isOutdated(LimitedUse state) {
    return clock.nowMs() - state.statedMs > LIMIT_AGE_MS;
  }

  private int vms() {
    return Math.max(1, vmCount.getAsInt());
  }
}
