package org.zinniaspan.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Model;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.LoadReport;

/**
 * Sends orders to load models to the engines of one availability zone, if this VM owns the
 * placement role.
 *
 * <p>At most one order is in flight at a time. A VM sends orders only after it has owned the role
 * for the handover time without a pause, and only on load reports received in that time. Engines
 * that check fencing numbers reject late orders of an earlier owner. State is guarded by this
 * object's lock.
 */
public final class Placer implements Ticking {

  /** Name of the role for {@link Membership#ownerOf}. */
  public static final String ROLE = "placement";

  private static final long MAX_TICK_GAP_MS = 1_000;
  private static final long PLAN_PERIOD_MS = 1_000;
  private static final long FENCING_STEPS_PER_MS = 1_024;

  private final Membership membership;
  private final EndpointTable table;
  private final Supplier<Inventory> inventory;
  private final Supplier<Map<String, Double>> demand;
  private final OrderClient client;
  private final Executor executor;
  private final Clock clock;
  private final PlacementLimits limits;
  private final PauseDetector pauses;
  private final Map<String, Long> lastChangeMs = new HashMap<>();
  private Optional<WeightLoadLimiter> loadLimiter = Optional.empty();
  private Optional<Long> ownerSinceMs = Optional.empty();
  private long lastFencing;
  private boolean inFlight;
  private long nextPlanMs = Long.MIN_VALUE;

  /** Builds a {@link Placer}; everything but the demand and the limits is required. */
  public static final class Builder {

    private Membership membership;
    private EndpointTable table;
    private Supplier<Inventory> inventory;
    private Supplier<Map<String, Double>> demand = Map::of;
    private OrderClient client;
    private Executor executor;
    private Clock clock;
    private PlacementLimits limits = PlacementLimits.DEFAULT;

    /** Sets the membership of the availability zone. */
    public Builder membership(Membership value) {
      membership = value;
      return this;
    }

    /** Sets the table of endpoints. */
    public Builder table(EndpointTable value) {
      table = value;
      return this;
    }

    /** Sets the supplier of the inventory in force. */
    public Builder inventory(Supplier<Inventory> value) {
      inventory = value;
      return this;
    }

    /** Sets the supplier of the requests per second by model; none by default. */
    public Builder demand(Supplier<Map<String, Double>> value) {
      demand = value;
      return this;
    }

    /** Sets the client that sends orders and the executor that it runs on. */
    public Builder client(OrderClient value, Executor threads) {
      client = value;
      executor = threads;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(Clock value) {
      clock = value;
      return this;
    }

    /** Sets the limits; {@link PlacementLimits#DEFAULT} by default. */
    public Builder limits(PlacementLimits value) {
      limits = value;
      return this;
    }

    /** Builds the placer. */
    public Placer build() {
      return new Placer(this);
    }
  }

  private Placer(Builder builder) {
    membership = builder.membership;
    table = builder.table;
    inventory = builder.inventory;
    demand = builder.demand;
    client = builder.client;
    executor = builder.executor;
    clock = builder.clock;
    limits = builder.limits;
    pauses = new PauseDetector(clock, MAX_TICK_GAP_MS);
  }

  @Override
  public void tick() {
    Optional<Runnable> work = decide();
    work.ifPresent(executor::execute);
  }

  private synchronized Optional<Runnable> decide() {
    long now = clock.nowMs();
    boolean paused = pauses.observe();
    if (paused || !ownsRole()) {
      ownerSinceMs = Optional.empty();
      loadLimiter = Optional.empty();
      return Optional.empty();
    }
    if (ownerSinceMs.isEmpty()) {
      ownerSinceMs = Optional.of(now);
      loadLimiter = Optional.of(newLoadLimiter(now));
    }
    if (inFlight || now < nextPlanMs || now - ownerSinceMs.get() < limits.handoverMs()) {
      return Optional.empty();
    }
    nextPlanMs = now + PLAN_PERIOD_MS;
    PlacementPlanner planner = new PlacementPlanner(inventory.get().models());
    List<EngineView> engines = engines(now);
    return planner
        .nextChange(engines, demand.get())
        .filter(change -> isDampingOver(change, now))
        .flatMap(change -> prepare(change, engines, planner, now));
  }

  private WeightLoadLimiter newLoadLimiter(long now) {
    int largestMb = inventory.get().models().stream().mapToInt(Model::memoryMb).max().orElse(0);
    return new WeightLoadLimiter(
        limits.weightStoreMb(), limits.weightStoreWindowMs(), largestMb, now);
  }

  private boolean ownsRole() {
    return membership.isSettled() && membership.ownerOf(ROLE).vm().equals(membership.self().vm());
  }

  private boolean isDampingOver(PlacementChange change, long now) {
    return now - lastChangeMs.getOrDefault(change.engine(), Long.MIN_VALUE / 2)
        >= limits.dampingMs();
  }

  private List<EngineView> engines(long now) {
    return table.endpoints().stream()
        .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE && endpoint.memoryMb() > 0)
        .filter(endpoint -> !table.isLeaving(endpoint.name()))
        .flatMap(endpoint -> view(endpoint, now).stream())
        .toList();
  }

  private Optional<EngineView> view(Endpoint endpoint, long now) {
    return table
        .snapshot(endpoint)
        .report()
        .filter(report -> now - report.asOfMs() <= limits.reportMaxAgeMs())
        .map(report -> view(endpoint, report));
  }

  private static EngineView view(Endpoint endpoint, LoadReport report) {
    return new EngineView(
        endpoint.name(),
        endpoint.memoryMb(),
        Set.copyOf(endpoint.models()),
        report.models(),
        report.highestFencing(),
        endpoint.checksFencing());
  }

  private Optional<Runnable> prepare(
      PlacementChange change, List<EngineView> engines, PlacementPlanner planner, long now) {
    EngineView engine =
        engines.stream().filter(view -> view.name().equals(change.engine())).findFirst().get();
    Optional<Endpoint> endpoint = inventory.get().endpoint(change.engine());
    if (endpoint.isEmpty() || !reserveLoad(change, engine, planner, now)) {
      return Optional.empty();
    }
    Order order = new Order(nextFencing(engine, now), change.models(), now + limits.orderValidMs());
    inFlight = true;
    lastChangeMs.put(change.engine(), now);
    EventLog.event("order")
        .with("endpoint", change.engine())
        .with("models", change.models())
        .with("fencing", order.fencing())
        .with("reason", change.reason())
        .info();
    return Optional.of(() -> send(endpoint.get(), order));
  }

  private boolean reserveLoad(
      PlacementChange change, EngineView engine, PlacementPlanner planner, long now) {
    Set<String> added = new HashSet<>(change.models());
    added.removeAll(engine.loaded());
    int mb = added.stream().mapToInt(planner::memoryMb).sum();
    return loadLimiter.map(value -> value.tryAcquire(mb, now)).orElse(false);
  }

  /**
   * Returns a fencing number higher than any that this process has used or the engine reported.
   *
   * <p>It follows the clock, so that after a handover the new placer's numbers are higher than
   * those of an earlier placer, even if it knows none of them.
   */
  private long nextFencing(EngineView engine, long now) {
    long seen = Math.max(lastFencing, engine.highestFencing());
    lastFencing = Math.max(seen + 1, now * FENCING_STEPS_PER_MS);
    return lastFencing;
  }

  private void send(Endpoint endpoint, Order order) {
    OrderResult result;
    try {
      result = client.send(endpoint, order, () -> mayStillSend(order));
    } finally {
      synchronized (this) {
        inFlight = false;
      }
    }
    EventLog.event("order-result")
        .with("endpoint", endpoint.name())
        .with("fencing", order.fencing())
        .with("result", result)
        .info();
  }

  private synchronized boolean mayStillSend(Order order) {
    return clock.nowMs() <= order.validUntilMs() && ownerSinceMs.isPresent() && ownsRole();
  }
}
