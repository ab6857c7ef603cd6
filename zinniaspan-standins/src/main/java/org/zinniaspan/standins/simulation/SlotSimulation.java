package org.zinniaspan.standins.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;

/**
 * Simulates open-loop arrivals at the gateways of one availability zone in virtual time.
 *
 * <p>Only requests that arrive after the warm-up count.
 */
final class SlotSimulation {

  static final String MODEL = "model";

  private static final Pool POOL = Pool.model(MODEL);
  private static final long WARM_UP_MS = 20_000;
  private static final long MEASUREMENT_MS = 120_000;
  private static final int ORGANISATION_COUNT = 10;
  private static final int PROMPT_TOKENS = 200;
  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * A class, its share of the arrivals and the range of its answer lengths.
   *
   * @param minTokens shortest answer, in tokens
   * @param maxTokens longest answer, in tokens
   */
  private record ClassTraffic(
      ServiceClass serviceClass, double share, int minTokens, int maxTokens) {

    /** Returns the mean time for which a request holds a slot, in milliseconds. */
    double meanServiceMs() {
      double tokens = (minTokens + maxTokens) / 2.0;
      return FixedSlotEngine.PREFILL_MS + tokens * FixedSlotEngine.MS_PER_TOKEN;
    }
  }

  private static final List<ClassTraffic> TRAFFIC_MIX =
      List.of(
          new ClassTraffic(serviceClass("counter-question", 0, 1_000), 0.45, 30, 100),
          new ClassTraffic(serviceClass("report-lookup", 1, 1_500), 0.25, 20, 60),
          new ClassTraffic(serviceClass("dossier", 2, 3_000), 0.05, 600, 1_400),
          new ClassTraffic(serviceClass("record-flagging", 3, 30_000), 0.25, 50, 200));

  private final EventScheduler scheduler = new EventScheduler();
  private final Random random;
  private final SimulatedFleet fleet;
  private final double arrivalsPerMs;
  private final Map<String, ClassTally> tallies = new LinkedHashMap<>();
  private final long measureFromMs;
  private final long endMs;
  private int nextId;

  private static ServiceClass serviceClass(String name, int tier, long firstTokenTargetMs) {
    return new ServiceClass(name, tier, firstTokenTargetMs, 0, 0, 0, false);
  }

  SlotSimulation(SlotPolicy policy, double load, long seed) {
    this.random = new Random(seed);
    this.fleet = new SimulatedFleet(scheduler, policy, seed);
    this.arrivalsPerMs = load * capacityPerMs();
    this.measureFromMs = scheduler.nowMs() + WARM_UP_MS;
    this.endMs = measureFromMs + MEASUREMENT_MS;
    TRAFFIC_MIX.forEach(traffic -> tallies.put(traffic.serviceClass().name(), new ClassTally()));
  }

  /** Returns the requests per millisecond of this traffic mix that use all slots. */
  private static double capacityPerMs() {
    double meanMs =
        TRAFFIC_MIX.stream()
            .mapToDouble(traffic -> traffic.share() * traffic.meanServiceMs())
            .sum();
    return SimulatedFleet.ENGINE_COUNT * SimulatedFleet.SLOTS_PER_ENGINE / meanMs;
  }

  /** Runs the simulation and returns the outcomes by class. */
  Map<String, ClassTally> run() {
    scheduleArrival();
    scheduler.runUntil(endMs + WARM_UP_MS);
    return tallies;
  }

  /** Returns the measured requests answered completely and in time, per second. */
  double goodputPerSecond() {
    return tallies.values().stream().mapToInt(ClassTally::inTime).sum()
        / (MEASUREMENT_MS / MS_PER_SECOND);
  }

  private void scheduleArrival() {
    double delayMs = -Math.log(1 - random.nextDouble()) / arrivalsPerMs;
    scheduler.schedule(Math.max(1, Math.round(delayMs)), this::onArrival);
  }

  private void onArrival() {
    if (scheduler.nowMs() >= endMs) {
      return;
    }
    Request request = new Request(drawTraffic());
    if (request.isMeasured()) {
      request.tally().arrived();
    }
    request.acquireSlot();
    scheduleArrival();
  }

  private ClassTraffic drawTraffic() {
    double remaining = random.nextDouble();
    for (ClassTraffic traffic : TRAFFIC_MIX) {
      remaining -= traffic.share();
      if (remaining < 0) {
        return traffic;
      }
    }
    return TRAFFIC_MIX.get(0);
  }

  /** One request from arrival to end; a preempted request requests another slot. */
  private final class Request {

    private final ServiceClass serviceClass;
    private final long arrivedMs = scheduler.nowMs();
    private final String organisation = "organisation-" + random.nextInt(ORGANISATION_COUNT);
    private final int gateway = random.nextInt(SimulatedFleet.GATEWAY_COUNT);
    private final boolean preemptible;
    private int tokensLeft;
    private boolean inTime;
    private boolean firstTokenSeen;
    private String endpoint = "";
    private String attemptId = "";
    private FixedSlotEngine.EngineRequest engineRequest;

    Request(ClassTraffic traffic) {
      serviceClass = traffic.serviceClass();
      preemptible = serviceClass.tier() > 1;
      int spread = traffic.maxTokens() - traffic.minTokens();
      tokensLeft = traffic.minTokens() + random.nextInt(spread + 1);
    }

    boolean isMeasured() {
      return arrivedMs >= measureFromMs;
    }

    ClassTally tally() {
      return tallies.get(serviceClass.name());
    }

    /** Requests a slot for the next attempt. */
    void acquireSlot() {
      attemptId = "attempt-" + nextId++;
      LeaseRequest leaseRequest =
          new LeaseRequest(
              attemptId,
              POOL,
              serviceClass,
              organisation,
              scheduler.nowMs(),
              scheduler.nowMs() + serviceClass.firstTokenTargetMs(),
              PROMPT_TOKENS,
              0,
              List.of(),
              Set.of(),
              preemptible);
      fleet
          .slotService(gateway)
          .acquire(leaseRequest, this::onPreempted)
          .thenAccept(this::onLeaseResponse);
    }

    private void onLeaseResponse(LeaseResponse response) {
      if (response instanceof LeaseResponse.Granted granted) {
        endpoint = granted.endpoint();
        engineRequest =
            new FixedSlotEngine.EngineRequest(
                serviceClass.tier(), tokensLeft, this::onFirstToken, this::onFinished);
        fleet.engine(endpoint).submit(engineRequest);
      } else if (isMeasured()) {
        tally().refused();
      }
    }

    private void onFirstToken(long nowMs) {
      if (!firstTokenSeen) {
        firstTokenSeen = true;
        inTime = nowMs - arrivedMs <= serviceClass.firstTokenTargetMs();
      }
    }

    private void onFinished() {
      fleet
          .slotService(gateway)
          .release(
              attemptId, new SlotUse(SlotResult.COMPLETED, tokensLeft, FixedSlotEngine.PREFILL_MS));
      if (isMeasured()) {
        tally().answered(inTime);
      }
    }

    /** Stops the attempt, releases its slot and requests one for the tokens that are left. */
    private void onPreempted() {
      tokensLeft = fleet.engine(endpoint).cancel(engineRequest);
      fleet.slotService(gateway).release(attemptId, SlotUse.of(SlotResult.CANCELLED));
      acquireSlot();
    }
  }
}
