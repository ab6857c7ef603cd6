package org.zinniaspan.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.DigestUtils;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Starts a fleet, sends it the requests of one run, and gathers the figures of both sides. */
final class FleetRun {

  private static final String ZONE = "zone-a";
  private static final long WARM_UP_MS = 3_000;
  private static final double WARM_UP_DEMAND = 0.5;
  private static final long WARM_UP_SEED_OFFSET = 1_000_000;
  private static final long MS_PER_SECOND = 1_000;

  private final ScenarioSettings scenario;
  private final Workload workload;
  private final Path logs;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a run whose processes log to the folder. */
  FleetRun(ScenarioSettings scenario, Path logs) {
    this.scenario = scenario;
    this.workload = Workload.named(scenario.firm);
    this.logs = logs;
  }

  /** Tokens and bytes that engines have sent so far. */
  private record Sent(long generated, long cancelledBytes) {

    Sent plus(Sent other) {
      return new Sent(generated + other.generated, cancelledBytes + other.cancelledBytes);
    }
  }

  /**
   * Runs once.
   *
   * @param policy name and entry flags of the policy
   * @param demandFactor demand as a factor of the capacity
   * @param seed seed of the requests
   */
  LoadResult run(Policy policy, double demandFactor, long seed)
      throws IOException, InterruptedException {
    Path folder = logs.resolve(policy.name() + "-" + demandFactor + "-" + seed);
    try (LocalFleet fleet = LocalFleet.start(spec(policy), folder);
        Balancer balancer = new Balancer(targets(fleet))) {
      warmUp(balancer, seed);
      if (scenario.straggler) {
        String slow = "slowdown=" + scenario.stragglerSlowdown();
        fleet.control(fleet.endpoints().get("engine-1").address(), slow);
      }
      return measure(fleet, balancer, policy, demandFactor, seed);
    }
  }

  private LoadResult measure(
      LocalFleet fleet, Balancer balancer, Policy policy, double demandFactor, long seed)
      throws IOException, InterruptedException {
    final Sent before = sent(fleet);
    final AtomicReference<Sent> lost = new AtomicReference<>(new Sent(0, 0));
    ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
    if (scenario.crash) {
      long afterMs = scenario.seconds * MS_PER_SECOND / 2;
      faults.schedule(() -> lost.set(crash(fleet)), afterMs, TimeUnit.MILLISECONDS);
    }
    double perSecond = demandFactor * scenario.capacityPerSecond(workload);
    List<Arrival> arrivals = Arrivals.draw(workload, scenario.demand(seed, perSecond));
    LoadRun run = loadRun(balancer, "run-" + seed);
    run.send(arrivals);
    faults.shutdownNow();
    Sent after = sent(fleet).plus(lost.get());
    return result(policy, demandFactor, seed, run, arrivals, before, after);
  }

  private LoadResult result(
      Policy policy,
      double demandFactor,
      long seed,
      LoadRun run,
      List<Arrival> arrivals,
      Sent before,
      Sent after) {
    List<ClassStats.Row> rows = run.rows();
    long attained = rows.stream().mapToLong(ClassStats.Row::attained).sum();
    long generated = after.generated() - before.generated();
    double availableMs = scenario.worthEngines() * scenario.seconds * MS_PER_SECOND;
    return new LoadResult(
        policy.name(),
        demandFactor,
        seed,
        (double) arrivals.size() / scenario.seconds,
        (double) attained / scenario.seconds,
        run.attainedEngineMs() / availableMs,
        generated,
        generated - run.wholeTokens(),
        after.cancelledBytes() - before.cancelledBytes(),
        run.worstStartDelayMs(),
        rows);
  }

  private void warmUp(Balancer balancer, long seed) throws IOException, InterruptedException {
    double perSecond = WARM_UP_DEMAND * scenario.capacityPerSecond(workload);
    Demand demand =
        new Demand(
            seed + WARM_UP_SEED_OFFSET,
            perSecond,
            WARM_UP_MS,
            scenario.organisations,
            Optional.empty());
    loadRun(balancer, "warm-up-" + seed).send(Arrivals.draw(workload, demand));
  }

  private LoadRun loadRun(Balancer balancer, String name) throws IOException {
    return new LoadRun(
        balancer,
        IntStream.range(0, scenario.organisations).mapToObj(FleetRun::key).toList(),
        Target.of(workload.rules()),
        scenario.engine(),
        scenario.retries,
        name);
  }

  private FleetSpec spec(Policy policy) throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, scenario.entries)
            .models(workload.models().toArray(String[]::new))
            .engineSlots(scenario.slots)
            .service("service-1", ZONE, workload.service())
            .document("rules", workload.rules())
            .document("organisations", organisations())
            .entryFlags(policy.flags().toArray(String[]::new));
    for (int i = 1; i <= scenario.engines; i++) {
      spec.engine("engine-" + i, ZONE, engineFlags());
    }
    return spec;
  }

  private String[] engineFlags() {
    return new String[] {
      "--report-lag-ms",
      String.valueOf(scenario.reportLagMs),
      "--ms-per-token",
      String.valueOf(scenario.msPerToken),
      "--ms-per-token-per-request",
      String.valueOf(scenario.msPerTokenPerRequest)
    };
  }

  private String organisations() {
    ArrayNode rows = mapper.createArrayNode();
    for (int i = 0; i < scenario.organisations; i++) {
      rows.addObject()
          .put("name", "organisation-" + i)
          .put("keySha256", DigestUtils.sha256Hex(key(i)))
          .put("weight", 1);
    }
    return rows.toString();
  }

  private static String key(int organisation) {
    return "load-key-" + organisation;
  }

  private static List<Balancer.Target> targets(LocalFleet fleet) {
    List<Balancer.Target> targets = new ArrayList<>();
    for (LocalFleet.EntryProcess entry : fleet.entries().values()) {
      targets.add(new Balancer.Target(entry.callerAddress(), Optional.of(entry.adminAddress())));
    }
    return targets;
  }

  private Sent crash(LocalFleet fleet) {
    LocalFleet.EndpointProcess last = fleet.endpoints().get("engine-" + scenario.engines);
    Sent sent = sentBy(last);
    last.process().kill();
    return sent;
  }

  private Sent sent(LocalFleet fleet) {
    Sent sum = new Sent(0, 0);
    for (LocalFleet.EndpointProcess endpoint : fleet.endpoints().values()) {
      if (endpoint.name().startsWith("engine") && endpoint.process().isAlive()) {
        sum = sum.plus(sentBy(endpoint));
      }
    }
    return sum;
  }

  private Sent sentBy(LocalFleet.EndpointProcess engine) {
    try {
      JsonNode counts = mapper.readTree(LocalFleet.get(engine.address(), "/counts").body());
      return new Sent(counts.path("generated").asLong(), counts.path("cancelledBytes").asLong());
    } catch (IOException e) {
      throw new IllegalStateException(engine.name() + " does not tell its counts", e);
    }
  }
}
