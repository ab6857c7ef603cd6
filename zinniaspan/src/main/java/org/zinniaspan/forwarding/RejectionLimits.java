package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongBiFunction;
import java.util.stream.Collectors;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Keeps endpoints up that fail if they have to reject more than some requests in a second for lack
 * of room, whichever VMs send them.
 *
 * <p>All VMs together send to such an endpoint at most as many requests a second as make it reject
 * a part of what it can bear, by Erlang's loss formula, each VM within its share of a {@link
 * PermitSchedule}. A rejection pauses the endpoint for all VMs. VMs tell each other the statements
 * and the rejections, as a VM of a large fleet sends too seldom to an endpoint to hear of them.
 *
 * <p>The endpoints of a service state such limits together. One that has not answered yet, such as
 * one that has failed and returned as another incarnation, is used by what its service's endpoints
 * state. Not thread-safe.
 */
public final class RejectionLimits implements SendLimit {

  /** Share of the seconds in which an endpoint may be expected to exceed its limit. */
  private static final double MAX_FAILING_SHARE = 0.005;

  /** Longest time for which an endpoint gets nothing after a rejection, in milliseconds. */
  private static final long MAX_PAUSE_MS = 1_000;

  /** Number of pauses after which an endpoint may have rejected as many requests as it can bear. */
  private static final double PAUSES_PER_LIMIT = 0.5;

  private static final double MS_PER_SECOND = 1_000;

  /** Time in which further rejections by an endpoint are not told to other VMs, in milliseconds. */
  private static final long MIN_REJECTION_GAP_MS = 200;

  /** Time for which a rate is used before it is determined again, in milliseconds. */
  private static final long RATE_AGE_MS = 500;

  /** Share of an endpoint's slots from which it gets nothing, as its load reports are late. */
  private static final double MAX_OCCUPANCY = 0.75;

  /** Time after which the occupancy may have changed, in milliseconds. */
  private static final long FULL_MS = 100;

  /** Longest time after the begin of a slot in which it may be used, in milliseconds. */
  private static final long MAX_VALIDITY_MS = 1_000;

  /** Time after a rejection in which a service counts as overloaded, in milliseconds. */
  private static final long OVERLOAD_MS = 10_000;

  /** How many more requests an endpoint takes as slots space them more evenly than by chance. */
  private static final double SPACED_FACTOR = 1.3;

  /** Share of an endpoint's slots that evenly spaced requests may use. */
  private static final double MAX_UTILIZATION = 0.7;

  /** Shortest time in which a slot may be used, in relation to the mean time of a request. */
  private static final double MIN_VALIDITY = 0.25;

  /** Step between two rates; smaller changes do not move the slots. */
  private static final double RATE_STEP = 1.1;

  /**
   * A rejection limit.
   *
   * @param service service of the endpoint
   * @param perSecond rejections in a second beyond which it fails; empty if it states none
   */
  public record Limit(String service, Optional<Integer> perSecond) {}

  private record RateKey(String service, int slots, int limit) {}

  private record Rate(double perSecond, double occupiedMs, long determinedMs) {}

  private final Clock clock;
  private final Supplier<PermitShare> share;
  private final ToDoubleFunction<String> slotMs;
  private final PermitUse permits;
  private final StatementBoard<Limit> limits;
  private final StatementBoard<Boolean> rejections;
  private final Map<String, EndpointStatement<Limit>> newestByService = new HashMap<>();
  private final Map<String, Long> lastRejectionMs = new HashMap<>();
  private final Map<RateKey, Rate> rates = new HashMap<>();

  /**
   * Creates a state without limits.
   *
   * @param timeOfDay time of day in milliseconds since the epoch, which aligns the VMs
   * @param sequence numbers the statements and rejections that other VMs have to know
   * @param share returns the share of this VM in the slots of an endpoint
   * @param slotMs returns the mean time for which a request occupies a slot, in milliseconds, by
   *     the service's name
   */
  public RejectionLimits(
      Clock clock,
      Clock timeOfDay,
      ChangeSequence sequence,
      Supplier<PermitShare> share,
      ToDoubleFunction<String> slotMs) {
    this.clock = clock;
    this.share = share;
    this.slotMs = slotMs;
    this.permits = new PermitUse(timeOfDay);
    this.limits = new StatementBoard<>(clock, sequence, Limit::equals);
    this.rejections = new StatementBoard<>(clock, sequence, (known, next) -> false);
  }

  /**
   * Records what a response of an endpoint states.
   *
   * @param perSecond rejections in a second beyond which it fails, if it states such a limit
   */
  public void onResponse(ListedEndpoint endpoint, Optional<Integer> perSecond) {
    if (perSecond.isPresent() || find(endpoint).isPresent()) {
      Limit limit = new Limit(endpoint.service(), perSecond);
      putLimit(EndpointStatement.of(endpoint, limit, clock.nowMs()), true);
    }
  }

  /** Records that an endpoint rejected a request for lack of room. */
  public void onRejected(ListedEndpoint endpoint) {
    if (find(endpoint).isPresent()) {
      putRejection(EndpointStatement.of(endpoint, true, clock.nowMs()), true);
    }
  }

  /** Adds what endpoints stated to other VMs. */
  public void mergeLimits(List<EndpointStatement<Limit>> others) {
    others.forEach(statement -> putLimit(statement, false));
  }

  /** Adds when endpoints rejected requests of other VMs. */
  public void mergeRejections(List<EndpointStatement<Boolean>> others) {
    others.forEach(rejection -> putRejection(rejection, false));
  }

  private void putLimit(EndpointStatement<Limit> statement, boolean own) {
    if (limits.put(statement, own)) {
      EventLog.event(
              statement.value().perSecond().isPresent()
                  ? "endpoint-rejection-limited"
                  : "endpoint-rejection-unlimited")
          .with("endpoint", statement.endpointId())
          .with("service", statement.value().service())
          .with("startedAtMs", statement.startedAtMs())
          .with(
              "rejectionsPerSecond",
              statement.value().perSecond().map(String::valueOf).orElse("none"))
          .with("own", own)
          .with("share", share.get())
          .info();
    }
    newestByService.merge(
        statement.value().service(),
        statement,
        (known, next) -> known.atMs() >= next.atMs() ? known : next);
  }

  private void putRejection(EndpointStatement<Boolean> rejection, boolean own) {
    long knownMs =
        rejections
            .find(rejection.incarnation())
            .map(EndpointStatement::atMs)
            .orElse(Long.MIN_VALUE / 2);
    if (rejection.atMs() - knownMs >= MIN_REJECTION_GAP_MS) {
      rejections.put(rejection, own);
      limits
          .find(rejection.incarnation())
          .ifPresent(
              limit -> lastRejectionMs.merge(limit.value().service(), rejection.atMs(), Math::max));
    }
  }

  @Override
  public boolean appliesTo(ListedEndpoint endpoint) {
    return find(endpoint).isPresent();
  }

  /** Returns the rejection limit of an endpoint; that of its service's endpoints if it is newer. */
  private Optional<Integer> find(ListedEndpoint endpoint) {
    Optional<EndpointStatement<Limit>> own = limits.find(EndpointIncarnation.of(endpoint));
    Optional<Integer> ownLimit = own.flatMap(statement -> statement.value().perSecond());
    if (ownLimit.isPresent()) {
      return ownLimit;
    }
    return Optional.ofNullable(newestByService.get(endpoint.service()))
        .filter(newest -> clock.nowMs() - newest.atMs() <= StatementBoard.MAX_AGE_MS)
        .filter(newest -> own.isEmpty() || newest.atMs() > own.get().atMs())
        .flatMap(newest -> newest.value().perSecond());
  }

  @Override
  public void onSent(ListedEndpoint endpoint) {
    schedule(endpoint).ifPresent(schedule -> permits.use(endpoint, schedule));
  }

  @Override
  public long peekMs(TrackedEndpoint endpoint) {
    return remainingMs(endpoint, permits::peekMs);
  }

  @Override
  public long remainingMs(TrackedEndpoint endpoint) {
    return remainingMs(endpoint, permits::remainingMs);
  }

  private long remainingMs(
      TrackedEndpoint endpoint, ToLongBiFunction<ListedEndpoint, PermitSchedule> permitMs) {
    ListedEndpoint listed = endpoint.listed();
    Optional<PermitSchedule> schedule = schedule(listed);
    if (schedule.isEmpty()) {
      return 0;
    }
    long fullMs = endpoint.occupancy() >= MAX_OCCUPANCY ? FULL_MS : 0;
    return Math.max(
        fullMs, Math.max(pausedMs(listed), permitMs.applyAsLong(listed, schedule.get())));
  }

  /** Returns the time until the pause after an endpoint's last rejection ends, in milliseconds. */
  public long pausedMs(ListedEndpoint endpoint) {
    return rejections
        .find(EndpointIncarnation.of(endpoint))
        .map(rejection -> rejection.atMs() + pauseMs(endpoint) - clock.nowMs())
        .orElse(0L);
  }

  private long pauseMs(ListedEndpoint endpoint) {
    double rejected = PAUSES_PER_LIMIT * find(endpoint).map(n -> Math.max(1, n)).orElse(1);
    return Math.round(Math.min(MAX_PAUSE_MS, MS_PER_SECOND / rejected));
  }

  private Optional<PermitSchedule> schedule(ListedEndpoint endpoint) {
    return find(endpoint)
        .map(limit -> rate(new RateKey(endpoint.service(), Math.max(1, endpoint.slots()), limit)))
        .map(
            rate ->
                new PermitSchedule(
                    rate.perSecond(),
                    validityMs(endpoint, rate),
                    endpoint.id().hashCode(),
                    share.get()));
  }

  /**
   * Returns the time for which a slot may be used, in milliseconds. As unused slots of many VMs may
   * all be used at once, no more are usable than the endpoint takes and may reject; while the
   * service is overloaded, no more than it takes.
   */
  private long validityMs(ListedEndpoint endpoint, Rate rate) {
    int mayReject = isOverloaded(endpoint.service()) ? 0 : find(endpoint).orElse(0);
    double fittingMs =
        MS_PER_SECOND * (endpoint.slots() + mayReject) / rate.perSecond() - rate.occupiedMs();
    double validityMs = Math.max(fittingMs, MIN_VALIDITY * rate.occupiedMs());
    return Math.round(Math.min(MAX_VALIDITY_MS, validityMs));
  }

  private boolean isOverloaded(String service) {
    long lastMs = lastRejectionMs.getOrDefault(service, Long.MIN_VALUE / 2);
    return clock.nowMs() - lastMs <= OVERLOAD_MS;
  }

  private Rate rate(RateKey key) {
    Rate known = rates.get(key);
    if (known != null && clock.nowMs() - known.determinedMs() <= RATE_AGE_MS) {
      return known;
    }
    double occupiedMs = Math.max(1, slotMs.applyAsDouble(key.service()));
    double perSecond =
        ErlangLoss.highestRate(
            key.slots(), occupiedMs, Poisson.highestMean(key.limit(), MAX_FAILING_SHARE));
    double mostPerSecond = MAX_UTILIZATION * MS_PER_SECOND * key.slots() / occupiedMs;
    perSecond = Math.max(perSecond, Math.min(SPACED_FACTOR * perSecond, mostPerSecond));
    if (known != null && isNear(known.perSecond(), perSecond)) {
      perSecond = known.perSecond();
    }
    Rate determined = new Rate(perSecond, occupiedMs, clock.nowMs());
    rates.put(key, determined);
    return determined;
  }

  private static boolean isNear(double known, double next) {
    return next < known * RATE_STEP && known < next * RATE_STEP;
  }

  /** Returns when an endpoint last rejected a request, in milliseconds; empty if it did not. */
  public Optional<Long> rejectedMs(ListedEndpoint endpoint) {
    return rejections.find(EndpointIncarnation.of(endpoint)).map(EndpointStatement::atMs);
  }

  /** Returns the services whose endpoints state a rejection limit. */
  public Set<String> services() {
    if (newestByService.isEmpty()) {
      return Set.of();
    }
    long now = clock.nowMs();
    return newestByService.entrySet().stream()
        .filter(entry -> now - entry.getValue().atMs() <= StatementBoard.MAX_AGE_MS)
        .filter(entry -> entry.getValue().value().perSecond().isPresent())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the number of endpoints that state a rejection limit. */
  public int size() {
    return (int) limits.all().stream().filter(s -> s.value().perSecond().isPresent()).count();
  }

  /**
   * Returns the statements since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  public List<EndpointStatement<Limit>> limitsSince(long since, boolean ownOnly) {
    return limits.changesSince(since, ownOnly);
  }

  /**
   * Returns the last rejections since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  public List<EndpointStatement<Boolean>> rejectionsSince(long since, boolean ownOnly) {
    return rejections.changesSince(since, ownOnly);
  }
}
