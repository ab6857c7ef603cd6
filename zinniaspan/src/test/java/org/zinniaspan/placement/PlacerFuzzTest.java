package org.zinniaspan.placement;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.membership.Member;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.LoadReport;
import org.zinniaspan.testkit.VirtualClock;

/**
 * Property test of two placers that may both own the role at times and may pause at any moment.
 *
 * <p>Guards against late orders that undo newer ones, and against engines that change models too
 * often; one engine checks fencing numbers and two do not.
 */
class PlacerFuzzTest {

  private static final int STEPS = 1_500;
  private static final long STEP_MS = 250;
  private static final PlacementLimits LIMITS =
      new PlacementLimits(10_000, 20_000, 1_000, 5_000, 20_000, 30_000);
  private static final String INVENTORY =
      "{\"regions\":[{\"name\":\"r\",\"zones\":[\"z\"]}],"
          + "\"models\":[{\"name\":\"a\",\"memoryMb\":8000},{\"name\":\"b\",\"memoryMb\":8000},"
          + "{\"name\":\"c\",\"memoryMb\":8000}],\"endpoints\":["
          + endpoint("checks-1", true)
          + ","
          + endpoint("ignores-2", false)
          + ","
          + endpoint("ignores-1", false)
          + "]}";

  private static String endpoint(String name, boolean checks) {
    return String.format(
        "{\"name\":\"%s\",\"kind\":\"engine\",\"zone\":\"z\",\"address\":\"127.0.0.1:1\","
            + "\"models\":[\"a\",\"b\",\"c\"],\"memoryMb\":17000,\"checksFencing\":%s}",
        name, checks);
  }

  private final VirtualClock clock = new VirtualClock(1_000_000);
  private final ConfigurationStore store = new ConfigurationStore();
  private final Map<String, FakeEngine> engines = new HashMap<>();
  private final List<FakePlacer> placers = new ArrayList<>();
  private boolean settling;
  private final Map<String, Double> demand = new HashMap<>(Map.of("a", 1.0, "b", 9.0));

  /** An engine that applies orders and records them. */
  private final class FakeEngine {
    private final boolean checks;
    private Set<String> models = Set.of("a");
    private long highest;
    private final List<Long> decisionsMs = new ArrayList<>();
    private final List<Order> applied = new ArrayList<>();

    FakeEngine(boolean checks) {
      this.checks = checks;
    }

    OrderResult apply(Order order) {
      if (checks && order.fencing() < highest) {
        return new OrderResult.Stale(highest);
      }
      highest = checks ? order.fencing() : 0;
      if (!order.models().equals(models)) {
        decisionsMs.add(order.validUntilMs());
      }
      models = order.models();
      applied.add(order);
      return new OrderResult.Accepted();
    }
  }

  /** A placer with its own view of the role, whose orders may be delayed. */
  private final class FakePlacer implements Membership, OrderClient {
    private final Member self;
    private final EndpointTable table = new EndpointTable("z", store::current, clock);
    private final Deque<Runnable> work = new ArrayDeque<>();
    private final Deque<Runnable> delayedSends = new ArrayDeque<>();
    private final Random delayRandom = new Random(7);
    private final Placer placer;
    private boolean owner;
    private boolean paused;
    private Runnable betweenCheckAndSend = () -> {};

    FakePlacer(String vm) {
      self = new Member(vm, 1, "127.0.0.1:1", false);
      placer =
          new Placer.Builder()
              .membership(this)
              .table(table)
              .inventory(() -> store.current().inventory())
              .client(this, work::add)
              .demand(() -> demand)
              .clock(clock)
              .limits(LIMITS)
              .build();
    }

    @Override
    public Member self() {
      return self;
    }

    @Override
    public List<Member> live() {
      return List.of(self);
    }

    @Override
    public Member ownerOf(String role) {
      return owner ? self : new Member("other", 1, "", false);
    }

    @Override
    public long changedAtMs() {
      return 0;
    }

    @Override
    public Optional<String> addressOf(String vm) {
      return Optional.empty();
    }

    @Override
    public OrderResult send(Endpoint endpoint, Order order, BooleanSupplier stillValid) {
      if (!stillValid.getAsBoolean()) {
        return new OrderResult.Expired();
      }
      betweenCheckAndSend.run();
      FakeEngine engine = engines.get(endpoint.name());
      if (engine.checks && delayRandom.nextInt(3) == 0 && !settling) {
        delayedSends.add(() -> engine.apply(order));
        return new OrderResult.Failed("timeout");
      }
      return engine.apply(order);
    }

    void step(Random random) {
      deliverDelayed();
      if (paused) {
        return;
      }
      engines.forEach((name, engine) -> report(name, engine));
      runSomeWork(random);
      placer.tick();
      runSomeWork(random);
    }

    private void deliverDelayed() {
      if (!delayedSends.isEmpty() && delayRandom.nextInt(30) == 0) {
        delayedSends.poll().run();
      }
    }

    private void runSomeWork(Random random) {
      if (!work.isEmpty() && random.nextBoolean()) {
        work.poll().run();
      }
    }

    private void report(String name, FakeEngine engine) {
      long now = clock.nowMs();
      table.recordReport(
          name, new LoadReport(now, 0, 0, 1, 0, false, engine.models, engine.highest));
    }
  }

  private void start() {
    settling = false;
    store.offer(
        new Document(DocumentName.INVENTORY, 1, INVENTORY.getBytes(StandardCharsets.UTF_8)));
    engines.put("checks-1", new FakeEngine(true));
    engines.put("ignores-2", new FakeEngine(false));
    engines.put("ignores-1", new FakeEngine(false));
    placers.add(new FakePlacer("vm-1"));
    placers.add(new FakePlacer("vm-2"));
    placers.get(0).owner = true;
  }

  private void fault(Random random) {
    FakePlacer placer = placers.get(random.nextInt(2));
    FakePlacer other = placers.get(placers.indexOf(placer) == 0 ? 1 : 0);
    boolean orderWaits = !placer.work.isEmpty() && !placer.paused;
    switch (orderWaits ? random.nextInt(2) : random.nextInt(60)) {
      case 0, 1 -> {
        placer.paused = true;
        other.owner = true;
      }
      case 2 -> placer.paused = false;
      case 5 -> placer.owner = true;
      case 6 -> placer.owner = false;
      case 7, 8, 9 -> demand.put(random.nextBoolean() ? "b" : "c", random.nextDouble() * 90);
      case 10, 11, 12, 13 ->
          List.copyOf(engines.values()).get(random.nextInt(3)).models = Set.of("a");
      default -> {}
    }
  }

  private void settle(Random random) {
    settling = true;
    placers.forEach(placer -> placer.paused = false);
    placers.get(0).owner = true;
    placers.get(1).owner = false;
    run(random, 800, false);
  }

  private void run(Random random, int steps, boolean faults) {
    for (int i = 0; i < steps; i++) {
      if (faults) {
        fault(random);
      }
      placers.forEach(placer -> placer.step(random));
      clock.advance(STEP_MS);
    }
  }

  @Property(tries = 60, seed = "2026")
  void ordersApplyInDecisionOrderAndEnginesDoNotFlap(@ForAll long seed) {
    final Random random = new Random(seed);
    engines.clear();
    placers.clear();
    start();
    run(random, STEPS, true);
    settle(random);
    for (FakeEngine engine : engines.values()) {
      checkOrderOfDecisions(engine);
      checkDamping(engine);
    }
    for (String model : List.of("a", "b", "c")) {
      assertThat(engines.values().stream().anyMatch(e -> e.models.contains(model))).isTrue();
    }
  }

  /**
   * Checks that an engine that checks fencing numbers applies no earlier decision after a later
   * one.
   *
   * <p>An engine that ignores them may, while two VMs own the role, but only within the validity of
   * an order.
   */
  private static void checkOrderOfDecisions(FakeEngine engine) {
    long slackMs = engine.checks ? 0 : LIMITS.orderValidMs();
    long newestMs = Long.MIN_VALUE / 2;
    for (Order order : engine.applied) {
      assertThat(order.validUntilMs()).isAtLeast(newestMs - slackMs);
      newestMs = Math.max(newestMs, order.validUntilMs());
    }
  }

  /**
   * Checks the damping: each placer may change an engine once in the damping time, so two placers
   * may change it twice.
   */
  private static void checkDamping(FakeEngine engine) {
    List<Long> decisions = engine.decisionsMs.stream().sorted().toList();
    for (int i = 2; i < decisions.size(); i++) {
      assertThat(decisions.get(i) - decisions.get(i - 2)).isAtLeast(LIMITS.dampingMs());
    }
  }

  @Property(tries = 1, seed = "1")
  void fencingRejectsAnOrderDelayedAfterItsLastCheck() {
    engines.clear();
    placers.clear();
    start();
    FakePlacer first = placers.get(0);
    FakePlacer second = placers.get(1);
    final Random random = new Random(1);
    first.betweenCheckAndSend =
        () -> {
          first.paused = true;
          second.owner = true;
          run(random, 200, false);
        };
    run(random, 100, false);
    for (FakeEngine engine : engines.values()) {
      if (engine.checks) {
        checkOrderOfDecisions(engine);
      }
    }
  }
}
