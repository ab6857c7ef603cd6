package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Keeps all VMs together to the number of requests a second that endpoints in need state.
 *
 * <p>An endpoint states its limit in its answers for as long as it holds. VMs tell each other the
 * statements, as a VM of a large fleet sends too seldom to an endpoint with a limit to hear of its
 * end. The newest statement counts. Each VM sends within its own share of a {@link PermitSchedule}.
 * All statements concern one incarnation of an endpoint. Not thread-safe.
 */
public final class RequestLimits {

  /** Time after which a statement that was not repeated is outdated, in milliseconds. */
  static final long MAX_AGE_MS = 60_000;

  /** Time after which a repeated statement is told to the other VMs again, in milliseconds. */
  private static final long REPEAT_INTERVAL_MS = 20_000;

  /** Difference between two limits that counts as a change, as a share of the limit. */
  private static final double MIN_CHANGE = 0.02;

  /** Smallest limit that is kept, in requests a second; a smaller one counts as this. */
  private static final double MIN_PER_SECOND = 0.05;

  /** Step back of the time of day after which used slots are forgotten, in milliseconds. */
  private static final long MAX_STEP_MS = 2_000;

  /**
   * What an endpoint stated last.
   *
   * @param endpointId id of the endpoint
   * @param startedAtMs start of its incarnation, in milliseconds since the epoch
   * @param requestsPerSecond requests a second that it takes from all VMs; empty if it states none
   * @param atMs time of the statement, in milliseconds
   */
  public record Statement(
      String endpointId, long startedAtMs, Optional<Double> requestsPerSecond, long atMs) {

    private Incarnation incarnation() {
      return new Incarnation(endpointId, startedAtMs);
    }

    private boolean says(Statement other) {
      if (requestsPerSecond.isEmpty() || other.requestsPerSecond.isEmpty()) {
        return requestsPerSecond.isEmpty() == other.requestsPerSecond.isEmpty();
      }
      double difference = requestsPerSecond.get() - other.requestsPerSecond.get();
      return Math.abs(difference) <= MIN_CHANGE * requestsPerSecond.get();
    }
  }

  private record Incarnation(String id, long startedAtMs) {
    static Incarnation of(ListedEndpoint endpoint) {
      return new Incarnation(endpoint.id(), endpoint.startedAtMs());
    }
  }

  private static final class State {
    private Statement statement;
    private boolean own;
    private long sequence;
    private long toldMs;
    private long usedMs;
  }

  private final Clock clock;
  private final Clock timeOfDay;
  private final ChangeSequence sequence;
  private final Supplier<PermitShare> share;
  private final Map<Incarnation, State> states = new HashMap<>();

  /**
   * Creates a state without limits.
   *
   * @param timeOfDay time of day in milliseconds since the epoch, which aligns the VMs
   * @param sequence numbers the statements that other VMs have to know
   * @param share returns the share of this VM in the slots of an endpoint
   */
  public RequestLimits(
      Clock clock, Clock timeOfDay, ChangeSequence sequence, Supplier<PermitShare> share) {
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.sequence = sequence;
    this.share = share;
  }

  /**
   * Records what a response of an endpoint states.
   *
   * @param requestsPerSecond requests a second that it takes from all VMs, if it states a limit
   */
  public void onResponse(ListedEndpoint endpoint, Optional<Double> requestsPerSecond) {
    Statement statement =
        new Statement(
            endpoint.id(),
            endpoint.startedAtMs(),
            requestsPerSecond.map(limit -> Math.max(MIN_PER_SECOND, limit)),
            clock.nowMs());
    if (requestsPerSecond.isPresent() || states.containsKey(statement.incarnation())) {
      put(statement, true);
    }
  }

  /** Adds what endpoints stated to other VMs. */
  public void merge(List<Statement> statements) {
    statements.stream().filter(s -> !isOutdated(s)).forEach(s -> put(s, false));
  }

  private void put(Statement statement, boolean own) {
    if (!states.containsKey(statement.incarnation())) {
      states.values().removeIf(known -> isOutdated(known.statement));
    }
    State state = states.computeIfAbsent(statement.incarnation(), key -> new State());
    Statement known = state.statement;
    if (known != null && known.atMs() >= statement.atMs()) {
      if (!known.says(statement) && !own) {
        // The sender has an older statement: it is told the newer one.
        state.sequence = sequence.next(state.own);
      }
      return;
    }
    boolean changed = known == null || !known.says(statement);
    state.statement = statement;
    if (changed) {
      log(statement, own);
    }
    if (changed || statement.atMs() - state.toldMs >= REPEAT_INTERVAL_MS) {
      state.own = own;
      state.toldMs = statement.atMs();
      state.sequence = sequence.next(own);
    }
  }

  private void log(Statement statement, boolean own) {
    EventLog.event(
            statement.requestsPerSecond().isPresent() ? "endpoint-limited" : "endpoint-unlimited")
        .with("endpoint", statement.endpointId())
        .with(
            "requestsPerSecond", statement.requestsPerSecond().map(String::valueOf).orElse("none"))
        .with("own", own)
        .with("share", share.get())
        .info();
  }

  /** Returns whether an endpoint takes another request of this VM now. */
  public boolean admits(ListedEndpoint endpoint) {
    return remainingMs(endpoint) <= 0;
  }

  /** Records that a request is sent to an endpoint, which uses one of this VM's slots. */
  public void onSent(ListedEndpoint endpoint) {
    limited(endpoint)
        .ifPresent(
            state ->
                state.usedMs = schedule(endpoint, state).nextMs(timeOfDay.nowMs(), state.usedMs));
  }

  /** Returns the time until this VM may send to an endpoint, in milliseconds. */
  public long remainingMs(ListedEndpoint endpoint) {
    return limited(endpoint)
        .map(
            state -> {
              long now = timeOfDay.nowMs();
              if (state.usedMs > now + MAX_STEP_MS) {
                state.usedMs = now;
              }
              return Math.max(0, schedule(endpoint, state).nextMs(now, state.usedMs) - now);
            })
        .orElse(0L);
  }

  private PermitSchedule schedule(ListedEndpoint endpoint, State state) {
    double perSecond = state.statement.requestsPerSecond().orElseThrow();
    return new PermitSchedule(perSecond, endpoint.id().hashCode(), share.get());
  }

  /** Returns whether some of these endpoints state a limit. */
  public boolean isLimiting(Collection<TrackedEndpoint> endpoints) {
    return endpoints.stream().anyMatch(e -> limited(e.listed()).isPresent());
  }

  /** Returns the number of endpoints with a limit. */
  public int size() {
    return (int)
        states.values().stream()
            .filter(state -> state.statement.requestsPerSecond().isPresent())
            .filter(state -> !isOutdated(state.statement))
            .count();
  }

  /**
   * Returns the statements since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  public List<Statement> changesSince(long since, boolean ownOnly) {
    states.values().removeIf(state -> isOutdated(state.statement));
    List<Statement> changes = new ArrayList<>();
    states.values().stream()
        .filter(state -> state.sequence > since && (state.own || !ownOnly))
        .forEach(state -> changes.add(state.statement));
    return changes;
  }

  private Optional<State> limited(ListedEndpoint endpoint) {
    return Optional.ofNullable(states.get(Incarnation.of(endpoint)))
        .filter(state -> state.statement.requestsPerSecond().isPresent())
        .filter(state -> !isOutdated(state.statement));
  }

  private boolean isOutdated(Statement statement) {
    return clock.nowMs() - statement.atMs() > MAX_AGE_MS;
  }
}
