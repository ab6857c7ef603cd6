package org.zinniaspan.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.ColdEndpoints;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.EngineReportSource;
import org.zinniaspan.forwarding.EngineSpeeds;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.forwarding.ReportPoller;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.SharedPressure;
import org.zinniaspan.forwarding.StreamWork;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.forwarding.ZoneCosts;

/**
 * VMs that share the catalog and the load of engines, on virtual time, with a store and a network
 * that can fail.
 *
 * <p>VMs can be killed, frozen (nothing runs, the clocks go on) and suspended (the steady clock
 * stops too), their time of day can be stepped, links between VMs and to the store can be cut, and
 * messages can be lost or arrive late.
 */
final class FleetSimulation {

  static final long START_MS = 1_000_000;
  private static final long TICK_MS = 20;

  /** Delay of a message on a link that is cut, after which it arrives or is lost. */
  private static final long HELD_UP_MS = 3_000;

  private static final int DEFAULT_ZONES = 3;

  final PlatformBounds bounds;
  final Random random;
  final List<String> zones;
  Function<ListedEndpoint, EngineReport> reports =
      engine -> new EngineReport(1, 10, engine.startedAtMs());
  final Map<String, Vm> vms = new TreeMap<>();
  long nowMs = START_MS;
  final SimulatedStore store = new SimulatedStore(() -> nowMs);
  double lossRate;

  /** Whether a VM that is started later assigns slots; those of earlier releases do not. */
  Predicate<String> assignsSlots = address -> true;

  /** Whether a VM tells others the evacuated zones; those of earlier releases do not. */
  Predicate<String> sharesEvacuations = address -> true;

  /** What cold endpoints take; empty if that is not limited. */
  Optional<ColdSpec> cold = Optional.empty();

  private final Set<String> cutLinks = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private long eventCount;

  private record Event(long atMs, long number, Runnable action) {}

  FleetSimulation(long seed, PlatformBounds bounds) {
    this(seed, bounds, DEFAULT_ZONES);
  }

  private FleetSimulation(long seed, PlatformBounds bounds, int zones) {
    this.random = new Random(seed);
    this.bounds = bounds;
    this.zones = IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList();
  }

  void at(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  /** Advances the time; {@code check} runs after each tick of the VMs. */
  void advance(long ms, Runnable check) {
    long endMs = nowMs + ms;
    while (nowMs < endMs) {
      long tickMs = nowMs + TICK_MS;
      while (!events.isEmpty() && events.peek().atMs() <= tickMs) {
        Event event = events.poll();
        nowMs = event.atMs();
        event.action().run();
      }
      nowMs = tickMs;
      List.copyOf(vms.values()).forEach(Vm::tick);
      check.run();
    }
  }

  void advance(long ms) {
    advance(ms, () -> {});
  }

  Vm start(String address, String zone, List<String> seeds) {
    Vm vm = new Vm(address, zone, seeds);
    vms.put(address, vm);
    return vm;
  }

  void kill(String address) {
    vms.remove(address);
  }

  /** Cuts the link between two VMs, or a VM and the {@code store}. */
  void cut(String a, String b) {
    cutLinks.add(link(a, b));
  }

  void healLinks() {
    cutLinks.clear();
  }

  private static String link(String a, String b) {
    return a.compareTo(b) < 0 ? a + '|' + b : b + '|' + a;
  }

  boolean isCut(String a, String b) {
    return cutLinks.contains(link(a, b));
  }

  /** Delivers a message to a VM's process, unless it has ended by then. */
  void deliver(String from, Vm to, Runnable action) {
    if (random.nextDouble() < lossRate) {
      return;
    }
    long delayMs = 1 + random.nextInt(4) + (random.nextInt(50) == 0 ? random.nextInt(900) : 0);
    if (isCut(from, to.address)) {
      if (random.nextBoolean()) {
        return;
      }
      delayMs += HELD_UP_MS;
    }
    at(delayMs, () -> to.run(action));
  }

  /** One VM of the fleet. */
  final class Vm {
    final String address;
    final String zone;
    final TableFreshness freshness;
    final EndpointDirectory directory;
    final CatalogFollower follower;
    final FleetMembership members;
    final CatalogSharing sharing;
    final CatalogService service;
    final StreamWork work;
    final SharedPressure pressure;
    final EngineSpeeds speeds = new EngineSpeeds();
    final EndpointObservations endpoints;
    final PromptQuarantine quarantine;
    final EngineBoard board;
    final EngineSharing engines;
    final ReportPoller poller;
    final Optional<SlotSharing> slots;
    final StreamOriginComponents origins;
    final SimulatedCalls calls = new SimulatedCalls(FleetSimulation.this, this);
    long polls;
    long stepMs;
    private long suspendedMs;
    private long pausedSinceMs = -1;
    private boolean suspending;
    private final Deque<Runnable> deferred = new ArrayDeque<>();

    Vm(String address, String zone, List<String> seeds) {
      this.address = address;
      this.zone = zone;
      Random own = new Random(random.nextLong());
      freshness =
          new TableFreshness(this::steadyMs, this::timeOfDayMs, bounds.maxConfirmationAgeMs());
      directory = new EndpointDirectory(this::steadyMs);
      follower = new CatalogFollower(calls, this::steadyMs, freshness, directory, bounds, own);
      members = new FleetMembership(address, zone, seeds, calls, this::steadyMs, own);
      sharing = new CatalogSharing(follower, freshness, bounds, members, calls, this::steadyMs);
      final long epoch = own.nextLong();
      work = new StreamWork(this::steadyMs);
      EndpointObservations observations =
          EndpointObservations.create(
              members,
              zones,
              this::steadyMs,
              this::timeOfDayMs,
              service -> speeds.of(service).slotMs());
      slots =
          assignsSlots.test(address)
              ? Optional.of(
                  SlotSharing.create(
                      members,
                      directory,
                      observations.limits().rejections(),
                      calls,
                      this::steadyMs,
                      this::timeOfDayMs,
                      service -> speeds.of(service).slotMs(),
                      own))
              : Optional.empty();
      endpoints =
          slots
              .map(observations::withSlots)
              .orElse(observations)
              .withOtherLimits(
                  List.of(
                      new ColdEndpoints(
                          this::steadyMs,
                          this::timeOfDayMs,
                          directory,
                          service -> cold,
                          bounds.cold(),
                          EndpointObservations.coldShare(members, zones, this::steadyMs))));
      quarantine = endpoints.quarantine();
      service = new CatalogService(follower, freshness, directory, this::steadyMs, epoch);
      pressure = new SharedPressure(this::steadyMs, members::liveCount);
      board =
          new EngineBoard(directory, work, pressure, endpoints.exchange(), this::steadyMs, epoch);
      engines = new EngineSharing(directory, board, members, calls, this::steadyMs);
      poller =
          new ReportPoller(
              directory,
              new Reports(),
              this::steadyMs,
              new ZoneCosts(zone, Map.of(zone, "region")),
              engines::observerRank,
              board::record);
      origins = StreamOriginComponents.create(members, directory, follower, calls, this::steadyMs);
    }

    private final class Reports implements EngineReportSource {
      @Override
      public void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> callback) {
        polls++;
        at(2, () -> Vm.this.run(() -> callback.accept(Optional.ofNullable(reports.apply(engine)))));
      }

      @Override
      public void tick() {
        // Replies arrive by themselves.
      }
    }

    PlatformBounds bounds() {
      return bounds;
    }

    long steadyMs() {
      return nowMs - suspendedMs - (suspending ? nowMs - pausedSinceMs : 0);
    }

    private long timeOfDayMs() {
      return nowMs + stepMs;
    }

    boolean isPaused() {
      return pausedSinceMs >= 0;
    }

    /** Stops the process for a time; while it is suspended, its steady clock stops too. */
    void pause(long ms, boolean suspend) {
      if (isPaused()) {
        return;
      }
      pausedSinceMs = nowMs;
      suspending = suspend;
      at(
          ms,
          () -> {
            suspendedMs += suspending ? nowMs - pausedSinceMs : 0;
            suspending = false;
            pausedSinceMs = -1;
            while (!deferred.isEmpty()) {
              deferred.poll().run();
            }
          });
    }

    /** Runs an action now, or after the pause; drops it if the process has ended. */
    void run(Runnable action) {
      if (vms.get(address) != this) {
        return;
      }
      if (isPaused()) {
        deferred.add(action);
      } else {
        action.run();
      }
    }

    private void tick() {
      if (isPaused()) {
        return;
      }
      calls.tick();
      members.tick();
      sharing.tick();
      service.tick();
      engines.tick();
      board.tick();
      slots.ifPresent(SlotSharing::tick);
      directory.tick();
      quarantine.tick();
      origins.sharing().tick();
      poller.poll("service");
    }

    long version() {
      return follower.table().map(RoutingTable::version).orElse(-1L);
    }

    /** Returns the age of the newest report of an engine at this VM. */
    long reportAgeMs(String engine) {
      return directory
          .endpoint(engine)
          .map(TrackedEndpoint::lastReportMs)
          .map(ms -> steadyMs() - ms)
          .orElse(Long.MAX_VALUE);
    }
  }

  /** Starts a fleet of VMs, spread over zones, with three seeds in the first zones. */
  static FleetSimulation fleet(long seed, PlatformBounds bounds, int vms, int zones) {
    return fleet(seed, bounds, vms, zones, address -> true);
  }

  /**
   * Starts a fleet of VMs of which some are of the previous release.
   *
   * @param assignsSlots whether a VM is of this release
   */
  static FleetSimulation fleet(
      long seed, PlatformBounds bounds, int vms, int zones, Predicate<String> assignsSlots) {
    FleetSimulation simulation = new FleetSimulation(seed, bounds, Math.max(DEFAULT_ZONES, zones));
    simulation.assignsSlots = assignsSlots;
    List<String> seeds = List.of("vm-000", "vm-001", "vm-002");
    for (int i = 0; i < vms; i++) {
      simulation.start(String.format("vm-%03d", i), "zone-" + i % zones, seeds);
    }
    return simulation;
  }

  static ListedEndpoint endpoint(String id, String zone, boolean draining) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", zone, "v1", 16, draining, 1);
  }

  /** Returns the VMs of each zone. */
  Map<String, List<Vm>> vmsByZone() {
    Map<String, List<Vm>> byZone = new HashMap<>();
    vms.values().forEach(vm -> byZone.computeIfAbsent(vm.zone, z -> new ArrayList<>()).add(vm));
    return byZone;
  }
}
