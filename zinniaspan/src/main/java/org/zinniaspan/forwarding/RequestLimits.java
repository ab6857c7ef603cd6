package org.zinniaspan.forwarding;

import java.util.List;
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
public final class RequestLimits implements SendLimit {

  /** Difference between two limits that counts as a change, as a share of the limit. */
  private static final double MIN_CHANGE = 0.02;

  /** Smallest limit that is kept, in requests a second; a smaller one counts as this. */
  private static final double MIN_PER_SECOND = 0.05;

  /** Time after the begin of a slot in which it may be used, in milliseconds. */
  private static final long VALIDITY_MS = 1_000;

  private final Clock clock;
  private final Supplier<PermitShare> share;
  private final PermitUse permits;
  private final StatementBoard<Optional<Double>> statements;

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
    this.share = share;
    this.permits = new PermitUse(timeOfDay);
    this.statements = new StatementBoard<>(clock, sequence, RequestLimits::areSame);
  }

  private static boolean areSame(Optional<Double> known, Optional<Double> next) {
    if (known.isEmpty() || next.isEmpty()) {
      return known.isEmpty() == next.isEmpty();
    }
    return Math.abs(known.get() - next.get()) <= MIN_CHANGE * known.get();
  }

  /**
   * Records what a response of an endpoint states.
   *
   * @param requestsPerSecond requests a second that it takes from all VMs, if it states a limit
   */
  public void onResponse(ListedEndpoint endpoint, Optional<Double> requestsPerSecond) {
    if (requestsPerSecond.isPresent()
        || statements.find(EndpointIncarnation.of(endpoint)).isPresent()) {
      Optional<Double> limit = requestsPerSecond.map(value -> Math.max(MIN_PER_SECOND, value));
      put(EndpointStatement.of(endpoint, limit, clock.nowMs()), true);
    }
  }

  /** Adds what endpoints stated to other VMs. */
  public void merge(List<EndpointStatement<Optional<Double>>> others) {
    others.forEach(statement -> put(statement, false));
  }

  private void put(EndpointStatement<Optional<Double>> statement, boolean own) {
    if (statements.put(statement, own)) {
      EventLog.event(statement.value().isPresent() ? "endpoint-limited" : "endpoint-unlimited")
          .with("endpoint", statement.endpointId())
          .with("requestsPerSecond", statement.value().map(String::valueOf).orElse("none"))
          .with("own", own)
          .with("share", share.get())
          .info();
    }
  }

  /** Returns whether an endpoint takes another request of this VM now. */
  public boolean admits(ListedEndpoint endpoint) {
    return remainingMs(endpoint) <= 0;
  }

  @Override
  public boolean appliesTo(ListedEndpoint endpoint) {
    return perSecond(endpoint).isPresent();
  }

  @Override
  public void onSent(ListedEndpoint endpoint) {
    schedule(endpoint).ifPresent(schedule -> permits.use(endpoint, schedule));
  }

  @Override
  public long peekMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    return schedule(listed).map(schedule -> permits.peekMs(listed, schedule)).orElse(0L);
  }

  @Override
  public long remainingMs(TrackedEndpoint endpoint) {
    return remainingMs(endpoint.listed());
  }

  /** Returns the time until this VM may send to an endpoint, in milliseconds. */
  public long remainingMs(ListedEndpoint endpoint) {
    return schedule(endpoint).map(schedule -> permits.remainingMs(endpoint, schedule)).orElse(0L);
  }

  private Optional<PermitSchedule> schedule(ListedEndpoint endpoint) {
    return perSecond(endpoint)
        .map(rate -> new PermitSchedule(rate, VALIDITY_MS, endpoint.id().hashCode(), share.get()));
  }

  private Optional<Double> perSecond(ListedEndpoint endpoint) {
    return statements.find(EndpointIncarnation.of(endpoint)).flatMap(EndpointStatement::value);
  }

  /** Returns the number of endpoints with a limit. */
  public int size() {
    return (int) statements.all().stream().filter(s -> s.value().isPresent()).count();
  }

  /**
   * Returns the statements since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  public List<EndpointStatement<Optional<Double>>> changesSince(long since, boolean ownOnly) {
    return statements.changesSince(since, ownOnly);
  }
}
