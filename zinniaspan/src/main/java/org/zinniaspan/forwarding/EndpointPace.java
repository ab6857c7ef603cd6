package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Raises the requests to an endpoint step by step after it started, came back or recovered, where
 * it does not state what it takes meanwhile.
 *
 * <p>The pace of all VMs together begins at a part of what the endpoint can take. With each step it
 * doubles while the endpoint answers in time and has free slots, and is halved while answers are
 * late or requests queue. Each VM sends within its own share of a {@link PermitSchedule}, as many
 * VMs that try one request each would be too many. It is a preference: a request that no other
 * endpoint takes is sent all the same. An endpoint that stays slow is left to the choice by
 * expected time after a while. Not thread-safe.
 */
public final class EndpointPace implements SendLimit {

  /** First pace, as a share of the requests that an endpoint can take. */
  private static final double FIRST_SHARE = 0.125;

  /** Smallest pace, as a share of the first one. */
  private static final double MIN_SHARE = 0.25;

  /** Pace at which the rise ends, as a multiple of the requests that an endpoint can take. */
  private static final double LAST_SHARE = 2;

  /** Smallest first pace, in requests a second. */
  private static final double MIN_PER_SECOND = 0.5;

  private static final long STEP_MS = 500;

  /**
   * Share of the slots from which the pace no longer rises: requests that are not answered yet
   * would only queue behind those that fill the endpoint.
   */
  private static final double FILLING_OCCUPANCY = 0.75;

  /** Longest time for which an endpoint is paced, in milliseconds. */
  private static final long MAX_MS = 8_000;

  /** Lateness of first bytes from which answers do not keep their time, in milliseconds. */
  private static final double LATE_MS = 300;

  /** Weight of recent failures from which an endpoint counts as failing. */
  private static final double FAILING = 2;

  /** Weight of recent failures below which an endpoint that was failing has recovered. */
  private static final double RECOVERED = 0.5;

  /** Time after a failed connection in which the next one shows a return, in milliseconds. */
  private static final long RETURN_MS = 30_000;

  private static final int MAX_STATES = 5_000;

  private static final double MS_PER_SECOND = 1_000;

  private static final class State {
    private double perSecond;
    private long beganMs;
    private long steppedMs;
    private boolean paced;
    private boolean failing;
    private long connectFailedMs = Long.MIN_VALUE / 2;
  }

  private final Clock clock;
  private final EndpointDirectory directory;
  private final Function<String, Optional<ColdSpec>> coldSpecs;
  private final ToDoubleFunction<String> slotMs;
  private final Supplier<PermitShare> share;
  private final PermitUse permits;
  private final Map<EndpointIncarnation, State> states = new HashMap<>();

  /**
   * Creates a state in which no endpoint is paced.
   *
   * @param timeOfDay time of day in milliseconds since the epoch, which aligns the VMs
   * @param coldSpecs returns what the endpoints of a service take while they are cold, by its name
   * @param slotMs returns the mean time for which a request occupies a slot of an endpoint, in
   *     milliseconds, by the service's name
   * @param share returns the share of this VM in what all send to an endpoint
   */
  public EndpointPace(
      Clock clock,
      Clock timeOfDay,
      EndpointDirectory directory,
      Function<String, Optional<ColdSpec>> coldSpecs,
      ToDoubleFunction<String> slotMs,
      Supplier<PermitShare> share) {
    this.clock = clock;
    this.directory = directory;
    this.coldSpecs = coldSpecs;
    this.slotMs = slotMs;
    this.share = share;
    this.permits = new PermitUse(timeOfDay);
  }

  @Override
  public boolean isPreference() {
    return true;
  }

  @Override
  public boolean appliesTo(ListedEndpoint endpoint) {
    State state = states.get(EndpointIncarnation.of(endpoint));
    return state != null && state.paced;
  }

  @Override
  public long remainingMs(TrackedEndpoint endpoint) {
    observe(endpoint);
    ListedEndpoint listed = endpoint.listed();
    return schedule(listed).map(schedule -> permits.remainingMs(listed, schedule)).orElse(0L);
  }

  @Override
  public long peekMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    return schedule(listed).map(schedule -> permits.peekMs(listed, schedule)).orElse(0L);
  }

  @Override
  public void onSent(ListedEndpoint endpoint) {
    schedule(endpoint).ifPresent(schedule -> permits.use(endpoint, schedule));
  }

  @Override
  public void onConnectFailed(ListedEndpoint endpoint) {
    state(endpoint).connectFailedMs = clock.nowMs();
  }

  @Override
  public void onConnected(ListedEndpoint endpoint) {
    State state = states.get(EndpointIncarnation.of(endpoint));
    if (state != null && clock.nowMs() - state.connectFailedMs <= RETURN_MS) {
      state.connectFailedMs = Long.MIN_VALUE / 2;
      begin(endpoint, state, "returned");
    }
  }

  private Optional<PermitSchedule> schedule(ListedEndpoint endpoint) {
    return Optional.ofNullable(states.get(EndpointIncarnation.of(endpoint)))
        .filter(state -> state.paced)
        .map(
            // Slots are not kept for later: each step deals them anew.
            state -> new PermitSchedule(state.perSecond, 0, endpoint.id().hashCode(), share.get()));
  }

  private State state(ListedEndpoint endpoint) {
    if (states.size() >= MAX_STATES) {
      states.keySet().removeIf(key -> !directory.contains(key.endpointId()));
    }
    return states.computeIfAbsent(EndpointIncarnation.of(endpoint), key -> new State());
  }

  /** Begins, changes or ends the pace of an endpoint by what is known of it now. */
  private void observe(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    State state = states.get(EndpointIncarnation.of(listed));
    long now = clock.nowMs();
    double failures = endpoint.failures(now);
    if (state == null) {
      boolean started = endpoint.isFresh() && now - endpoint.firstSeenMs() < MAX_MS;
      if (!started && failures < FAILING) {
        return;
      }
      state = state(listed);
      if (started) {
        begin(listed, state, "started");
      }
    }
    if (failures >= FAILING) {
      state.failing = true;
    } else if (state.failing && failures < RECOVERED) {
      state.failing = false;
      begin(listed, state, "recovered");
    }
    if (state.paced && now - state.steppedMs >= STEP_MS) {
      step(endpoint, state, now);
    }
  }

  private void begin(ListedEndpoint endpoint, State state, String reason) {
    if (coldSpecs.apply(endpoint.service()).isPresent()) {
      return;
    }
    long now = clock.nowMs();
    state.paced = true;
    state.beganMs = now;
    state.steppedMs = now;
    state.perSecond = firstPerSecond(endpoint);
    EventLog.event("endpoint-paced")
        .with("endpoint", endpoint.id())
        .with("reason", reason)
        .with("requestsPerSecond", state.perSecond)
        .info();
  }

  private void step(TrackedEndpoint endpoint, State state, long now) {
    state.steppedMs = now;
    double first = firstPerSecond(endpoint.listed());
    if (!keepsTime(endpoint, state, now)) {
      state.perSecond = Math.max(MIN_SHARE * first, state.perSecond / 2);
    } else if (endpoint.occupancy() < FILLING_OCCUPANCY) {
      state.perSecond *= 2;
    }
    boolean risen = state.perSecond >= LAST_SHARE * capacity(endpoint.listed());
    if (risen || now - state.beganMs >= MAX_MS) {
      state.paced = false;
      EventLog.event("endpoint-pace-ended")
          .with("endpoint", endpoint.listed().id())
          .with("reason", risen ? "risen" : "too-long")
          .with("afterMs", now - state.beganMs)
          .info();
    }
  }

  /** Returns whether the endpoint answers in time, as far as this VM knows. */
  private boolean keepsTime(TrackedEndpoint endpoint, State state, long now) {
    boolean queues =
        endpoint.hasReport(now)
            && endpoint.lastReportMs() >= state.beganMs
            && endpoint.reportedQueue() > 0;
    return !queues
        && endpoint.failures(now) < RECOVERED
        && endpoint.delayMs(false, now) < LATE_MS
        && endpoint.delayMs(true, now) < LATE_MS;
  }

  private double firstPerSecond(ListedEndpoint endpoint) {
    return Math.max(MIN_PER_SECOND, FIRST_SHARE * capacity(endpoint));
  }

  /** Returns the requests that an endpoint can take in a second. */
  private double capacity(ListedEndpoint endpoint) {
    return endpoint.slots() * MS_PER_SECOND / Math.max(1, slotMs.applyAsDouble(endpoint.service()));
  }
}
