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

/** One run in virtual time: open-loop arrivals over three gateways of one availability zone. */
final class SlotSimulation {

  static final String MODEL = "model";

  private static final Pool POOL = Pool.model(MODEL);
  private static final long WARM_UP_MS = 20_000;
  private static final long MEASURED_MS = 120_000;
  private static final int ORGANISATIONS = 10;
  private static final int PROMPT_TOKENS = 200;
  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * A class and its share of the arrivals.
   *
   * @param minTokens shortest answer
   * @param maxTokens longest answer
   */
  private record Traffic(ServiceClass serviceClass, double share, int minTokens, int maxTokens) {

    double meanServiceMs() {
      double tokens = (minTokens + maxTokens) / 2.0;
      return SimulatedEngine.PREFILL_MS + tokens * SimulatedEngine.TOKEN_MS;
    }
  }

  private static final List<Traffic> TRAFFIC =
      List.of(
          new Traffic(serviceClass("counter-question", 0, 1_000), 0.45, 30, 100),
          new Traffic(serviceClass("report-lookup", 1, 1_500), 0.25, 20, 60),
          new Traffic(serviceClass("dossier", 2, 3_000), 0.05, 600, 1_400),
          new Traffic(serviceClass("record-flagging", 3, 30_000), 0.25, 50, 200));

  private final EventQueue time = new EventQueue();
  private final Random random;
  private final SlotFleet fleet;
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
    this.fleet = new SlotFleet(time, policy, seed);
    this.arrivalsPerMs = load * capacityPerMs();
    this.measureFromMs = time.nowMs() + WARM_UP_MS;
    this.endMs = measureFromMs + MEASURED_MS;
    TRAFFIC.forEach(traffic -> tallies.put(traffic.serviceClass().name(), new ClassTally()));
  }

  /** Returns the requests in a millisecond that the engines can serve at this mix of classes. */
  private static double capacityPerMs() {
    double meanMs = TRAFFIC.stream().mapToDouble(one -> one.share() * one.meanServiceMs()).sum();
    return SlotFleet.ENGINES * SlotFleet.SLOTS_PER_ENGINE / meanMs;
  }

  /** Runs and returns the outcome by class. */
  Map<String, ClassTally> run() {
    arriveLater();
    time.runUntil(endMs + WARM_UP_MS);
    return tallies;
  }

  /** Returns requests answered whole and in time, in each second. */
  double goodputPerSecond() {
    return tallies.values().stream().mapToInt(ClassTally::inTime).sum()
        / (MEASURED_MS / MS_PER_SECOND);
  }

  private void arriveLater() {
    double delayMs = -Math.log(1 - random.nextDouble()) / arrivalsPerMs;
    time.after(Math.max(1, Math.round(delayMs)), this::arrive);
  }

  private void arrive() {
    if (time.nowMs() >= endMs) {
      return;
    }
    Request request = new Request(draw());
    if (request.isMeasured()) {
      request.tally().arrived();
    }
    request.ask();
    arriveLater();
  }

  private Traffic draw() {
    double left = random.nextDouble();
    for (Traffic traffic : TRAFFIC) {
      left -= traffic.share();
      if (left < 0) {
        return traffic;
      }
    }
    return TRAFFIC.get(0);
  }

  /** One request from its arrival to its end. */
  private final class Request {

    private final ServiceClass serviceClass;
    private final long arrivedMs = time.nowMs();
    private final String organisation = "organisation-" + random.nextInt(ORGANISATIONS);
    private final int gateway = random.nextInt(SlotFleet.GATEWAYS);
    private final boolean preemptible;
    private int tokensLeft;
    private boolean inTime;
    private boolean started;
    private String endpoint = "";
    private String attemptId = "";
    private SimulatedEngine.Work work;

    Request(Traffic traffic) {
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

    void ask() {
      attemptId = "attempt-" + nextId++;
      LeaseRequest ask =
          new LeaseRequest(
              attemptId,
              POOL,
              serviceClass,
              organisation,
              time.nowMs(),
              time.nowMs() + serviceClass.firstTokenTargetMs(),
              PROMPT_TOKENS,
              0,
              List.of(),
              Set.of(),
              preemptible);
      fleet.gateway(gateway).acquire(ask, this::preempted).thenAccept(this::answered);
    }

    private void answered(LeaseResponse answer) {
      if (answer instanceof LeaseResponse.Granted granted) {
        endpoint = granted.endpoint();
        work =
            new SimulatedEngine.Work(
                serviceClass.tier(), tokensLeft, this::firstToken, this::finished);
        fleet.engine(endpoint).submit(work);
      } else if (isMeasured()) {
        tally().refused();
      }
    }

    private void firstToken(long nowMs) {
      if (!started) {
        started = true;
        inTime = nowMs - arrivedMs <= serviceClass.firstTokenTargetMs();
      }
    }

    private void finished() {
      fleet
          .gateway(gateway)
          .release(
              attemptId, new SlotUse(SlotResult.COMPLETED, tokensLeft, SimulatedEngine.PREFILL_MS));
      if (isMeasured()) {
        tally().answered(inTime);
      }
    }

    private void preempted() {
      tokensLeft = fleet.engine(endpoint).cancel(work);
      fleet.gateway(gateway).release(attemptId, SlotUse.of(SlotResult.CANCELLED));
      ask();
    }
  }
}
