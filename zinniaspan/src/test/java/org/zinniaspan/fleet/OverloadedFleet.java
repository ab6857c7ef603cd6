package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptPart;

/**
 * VMs that route clients' requests to the endpoints of two services on virtual time, by the real
 * decisions. The services have as many endpoints and as much load as the VMs' number suggests.
 */
final class OverloadedFleet {

  static final String MODEL = "service";
  static final String PLAIN = "plain";

  private static final long TICK_MS = 20;
  private static final double MS_PER_SECOND = 1_000;

  /** Number of VMs to which the rates of the kinds refer. */
  private static final double NOMINAL_VMS = 74;

  private static final int ORGANISATIONS = 24;
  private static final int ZONES = 6;
  private static final int MODEL_SLOTS = 12;
  private static final int PLAIN_SLOTS = 6;

  /** Bounds of a large deployment. */
  private static final PlatformBounds BOUNDS =
      new PlatformBounds(4_000, 5_000, 4_000, 1_200, 8_000, 0.2, 188, 10_000);

  /**
   * A kind of request.
   *
   * @param sharedTokens tokens of the parts that other prompts share; none for a plain request
   * @param workMs time that a plain endpoint needs, in milliseconds
   */
  record Kind(
      String name,
      String service,
      double perSecond,
      int rank,
      boolean leastUrgent,
      boolean tolerant,
      boolean idempotent,
      long targetMs,
      long deadlineMs,
      long sharedTokens,
      long ownTokens,
      long outputTokens,
      double workMs) {}

  static final Kind LONG =
      new Kind("long", MODEL, 103, 3, true, true, true, 2_019, 12_117, 5_382, 6_610, 378, 0);
  static final Kind CHAT =
      new Kind("chat", MODEL, 82.1, 0, false, false, true, 308, 10_265, 198, 628, 288, 0);
  static final Kind FLAG =
      new Kind("flag", MODEL, 151, 1, false, false, true, 510, 3_057, 568, 1_800, 27, 0);
  static final Kind CHARGE =
      new Kind("charge", PLAIN, 78.2, 2, false, false, false, 393, 3_062, 0, 0, 0, 85.7);
  static final Kind LOOKUP =
      new Kind("lookup", PLAIN, 31.3, 2, true, false, true, 393, 3_057, 0, 0, 0, 85.7);
  static final List<Kind> KINDS = List.of(LONG, CHAT, FLAG, CHARGE, LOOKUP);

  /** Kinds of a deployment whose plain requests are short and have strict targets. */
  static final List<Kind> SHORT_CALL_KINDS =
      List.of(
          LONG,
          CHAT,
          FLAG,
          new Kind("deploy", PLAIN, 78.2, 2, false, false, false, 150, 800, 0, 0, 0, 15),
          new Kind("status", PLAIN, 31.3, 2, true, false, true, 150, 800, 0, 0, 0, 15));

  /** What callers got of one kind of request, and the work of its requests. */
  static final class Tally {
    int asked;
    int served;
    int inTime;
    int refused;
    int failed;
  }

  final FleetSimulation fleet;
  final Random random;
  final List<Kind> kinds;
  final List<OverloadedEndpoint> endpoints = new ArrayList<>();
  final Map<Kind, Tally> tallies = new HashMap<>();

  /** Numbers of rejections whose sender knew, and did not know, that the endpoint had a limit. */
  int rejectedKnowing;

  int rejectedUnknowing;

  /** Whether VMs tell each other of late requests. */
  boolean sharesPressure;

  /** Starts of the least urgent streams, and arrivals of others that got nothing, by second. */
  private final Map<Long, Integer> leastUrgentStarts = new TreeMap<>();

  private final Map<Kind, Map<Long, Integer>> nothing = new HashMap<>();

  /** Whether VMs learn the speed of each endpoint. */
  boolean learnsSpeeds = true;

  private final Map<FleetSimulation.Vm, SimulatedRouter> routers = new HashMap<>();
  private final Map<Kind, Double> bursts = new HashMap<>();
  private final double scale;
  private int requestCount;
  private int arrivalCount;
  private String zoneWithoutLoad = "";

  OverloadedFleet(long seed, int vms, int modelEndpoints, int plainEndpoints) {
    this(seed, vms, modelEndpoints, plainEndpoints, KINDS);
  }

  OverloadedFleet(long seed, int vms, int modelEndpoints, int plainEndpoints, List<Kind> kinds) {
    this(seed, vms, modelEndpoints, plainEndpoints, kinds, address -> true);
  }

  /**
   * Creates a fleet of which some VMs are of the previous release.
   *
   * @param ofThisRelease whether a VM is of this release, by its address
   */
  OverloadedFleet(
      long seed,
      int vms,
      int modelEndpoints,
      int plainEndpoints,
      List<Kind> kinds,
      Predicate<String> ofThisRelease) {
    this.kinds = kinds;
    fleet = FleetSimulation.fleet(seed, BOUNDS, vms, ZONES, ofThisRelease);
    random = new Random(seed);
    scale = modelEndpoints / 78.0;
    add(MODEL, modelEndpoints, MODEL_SLOTS);
    add(PLAIN, plainEndpoints, PLAIN_SLOTS);
    kinds.forEach(kind -> tallies.put(kind, new Tally()));
    fleet.reports =
        engine ->
            endpoints.stream()
                .filter(e -> e.id().equals(engine.id()))
                .findFirst()
                .map(OverloadedEndpoint::report)
                .orElse(null);
    fleet.advance(12_000);
  }

  private void add(String service, int count, int slots) {
    for (int number = 0; number < count; number++) {
      String zone = fleet.zones.get(number % ZONES);
      endpoints.add(new OverloadedEndpoint(fleet, service, number, zone, slots));
    }
  }

  /** Multiplies the rate of a kind from now on. */
  void burst(Kind kind, double factor) {
    bursts.put(kind, factor);
  }

  /** Multiplies the rates of all kinds from now on. */
  void burstAll(double factor) {
    kinds.forEach(kind -> burst(kind, factor));
  }

  /** Lets the VMs of a zone get no clients' requests from now on. */
  void withoutLoad(String zone) {
    zoneWithoutLoad = zone;
  }

  /** Lets all endpoints of a service state a rejection limit from now on, or none. */
  void state(String service, Optional<Integer> rejectionsPerSecond) {
    of(service).forEach(endpoint -> endpoint.state(rejectionsPerSecond));
  }

  /** Gives the endpoints of a service speeds by turns, as multiples of the usual time. */
  void slowDown(String service, double... factors) {
    List<OverloadedEndpoint> slowed = of(service);
    for (int i = 0; i < slowed.size(); i++) {
      // Neighbours in the list are of different zones.
      slowed.get(i).slowDown(factors[i / ZONES % factors.length]);
    }
  }

  void shortenQueues(String service) {
    of(service).forEach(OverloadedEndpoint::shortenQueue);
  }

  int failures(String service) {
    return failuresOf(service).size();
  }

  private List<OverloadedEndpoint.Failure> failuresOf(String service) {
    return of(service).stream().flatMap(endpoint -> endpoint.failures().stream()).toList();
  }

  List<OverloadedEndpoint> of(String service) {
    return endpoints.stream().filter(e -> e.service().equals(service)).toList();
  }

  OverloadedEndpoint endpoint(String id) {
    return endpoints.stream().filter(e -> e.id().equals(id)).findFirst().orElse(null);
  }

  void advance(long ms) {
    fleet.advance(
        ms,
        () -> {
          kinds.forEach(this::arrive);
          fleet.vms.values().stream().filter(vm -> !vm.isPaused()).forEach(vm -> router(vm).tick());
        });
  }

  private SimulatedRouter router(FleetSimulation.Vm vm) {
    return routers.computeIfAbsent(vm, key -> new SimulatedRouter(this, vm));
  }

  private void arrive(Kind kind) {
    double mean =
        kind.perSecond() * scale * bursts.getOrDefault(kind, 1.0) * TICK_MS / MS_PER_SECOND;
    for (int count = poisson(mean); count > 0; count--) {
      tallies.get(kind).asked++;
      String organisation = "organisation-" + Math.floorMod(++arrivalCount, ORGANISATIONS);
      submit(new SimulatedRouter.Request(kind, prompt(kind), organisation, fleet.nowMs, 2));
    }
  }

  /** Lets a share of the model endpoints crash. */
  void crash(double share) {
    List<OverloadedEndpoint> engines = of(MODEL);
    for (int i = 0; i < engines.size(); i++) {
      if (Math.floor((i + 1) * share) > Math.floor(i * share)) {
        engines.get(i).crash();
      }
    }
  }

  void queueByRank() {
    of(MODEL).forEach(OverloadedEndpoint::queueByRank);
  }

  void onBegun(Kind kind) {
    if (kind.leastUrgent()) {
      leastUrgentStarts.merge(fleet.nowMs / 1_000, 1, Integer::sum);
    }
  }

  void onNothing(Kind kind, long firstMs) {
    nothing.computeIfAbsent(kind, k -> new TreeMap<>()).merge(firstMs / 1_000, 1, Integer::sum);
  }

  /**
   * Returns the largest number of requests of a kind that came within five seconds and got nothing,
   * while less urgent ones began.
   */
  int passedOver(Kind kind) {
    Map<Long, Integer> bySecond = nothing.getOrDefault(kind, Map.of());
    int most = 0;
    for (long second : bySecond.keySet()) {
      int got = 0;
      int begun = 0;
      for (long s = second; s < second + 5; s++) {
        got += bySecond.getOrDefault(s, 0);
        begun += leastUrgentStarts.getOrDefault(s, 0);
      }
      most = begun > 0 ? Math.max(most, got) : most;
    }
    return most;
  }

  /** Hands a client's request to a random VM. */
  void submit(SimulatedRouter.Request request) {
    List<FleetSimulation.Vm> vms =
        fleet.vms.values().stream().filter(vm -> !vm.zone.equals(zoneWithoutLoad)).toList();
    FleetSimulation.Vm vm = vms.get(random.nextInt(vms.size()));
    router(vm).accept(request);
  }

  private int poisson(double mean) {
    int count = 0;
    for (double left = Math.exp(-mean), drawn = random.nextDouble(); drawn > left; count++) {
      drawn *= random.nextDouble();
    }
    return count;
  }

  private Optional<Prompt> prompt(Kind kind) {
    if (kind.service().equals(PLAIN)) {
      return Optional.empty();
    }
    requestCount++;
    long common = kind.sharedTokens() / 10;
    List<PromptPart> parts =
        List.of(
            new PromptPart(kind.name() + "-common-" + random.nextInt(3), common),
            new PromptPart(kind.name() + '-' + random.nextInt(247), kind.sharedTokens() - common),
            new PromptPart("own-" + requestCount, kind.ownTokens()));
    long tokens = kind.sharedTokens() + kind.ownTokens();
    return Optional.of(new Prompt(tokens, kind.outputTokens(), parts));
  }

  /** Returns the share of the requests to a service that were served. */
  double servedShare(String service) {
    int asked = 0;
    int served = 0;
    for (Map.Entry<Kind, Tally> entry : tallies.entrySet()) {
      if (entry.getKey().service().equals(service)) {
        asked += entry.getValue().asked;
        served += entry.getValue().served;
      }
    }
    return (double) served / asked;
  }

  /** Returns the share of the requests of a kind that were in time. */
  double inTimeShare(Kind kind) {
    Tally tally = tallies.get(kind);
    return (double) tally.inTime / tally.asked;
  }

  /** Forgets what callers got so far. */
  void resetTallies() {
    tallies.replaceAll((kind, tally) -> new Tally());
  }

  /** Returns what callers got, and how endpoints failed. */
  String summary() {
    StringBuilder text = new StringBuilder();
    for (Kind kind : kinds) {
      Tally tally = tallies.get(kind);
      text.append(
          String.format(
              "%s: %d asked, %d served, %d in time, %d refused, %d failed; ",
              kind.name(), tally.asked, tally.served, tally.inTime, tally.refused, tally.failed));
    }
    for (String service : List.of(MODEL, PLAIN)) {
      List<OverloadedEndpoint.Failure> failures = failuresOf(service);
      text.append(
          String.format(
              "%s: %d failures, %d of them within 3 s of a return, by %.1f VMs; %d slots used; ",
              service,
              failures.size(),
              failures.stream().filter(failure -> failure.upMs() < 3_000).count(),
              failures.stream().mapToInt(OverloadedEndpoint.Failure::senders).average().orElse(0),
              of(service).stream().mapToInt(OverloadedEndpoint::used).sum()));
    }
    return text.append(
            String.format(
                "rejected by VMs that knew the limit: %d, that did not: %d",
                rejectedKnowing, rejectedUnknowing))
        .toString();
  }
}
