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

/**
 * Runs one policy at one demand on a new local fleet.
 *
 * <p>Each run starts the fleet, warms it up, injects the faults of the scenario, and combines what
 * the callers measured with what the engines counted.
 */
final class FleetExperiment {

  private static final String ZONE = "zone-a";
  private static final long WARM_UP_MS = 3_000;
  private static final double WARM_UP_DEMAND_FACTOR = 0.5;
  private static final long WARM_UP_SEED_OFFSET = 1_000_000;
  private static final long MS_PER_SECOND = 1_000;

  private final ScenarioSettings scenario;
  private final Workload workload;
  private final Path logDirectory;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates an experiment; each run logs to its own subdirectory of the given directory. */
  FleetExperiment(ScenarioSettings scenario, Path logDirectory) {
    this.scenario = scenario;
    this.workload = Workload.byName(scenario.firm);
    this.logDirectory = logDirectory;
  }

  /** Tokens generated, and bytes of cancelled answers, since the engines started. */
  private record EngineCounts(long generated, long cancelledBytes) {

    EngineCounts plus(EngineCounts other) {
      return new EngineCounts(generated + other.generated, cancelledBytes + other.cancelledBytes);
    }
  }

  /**
   * Runs the scenario once on a new fleet.
   *
   * @param policy flags of the entry VMs
   * @param demandFactor demand as a factor of the capacity
   * @param seed seed of the arrivals
   */
  LoadResult run(EntryPolicy policy, double demandFactor, long seed)
      throws IOException, InterruptedException {
    Path runDirectory = logDirectory.resolve(policy.name() + "-" + demandFactor + "-" + seed);
    try (LocalFleet fleet = LocalFleet.start(fleetSpec(policy), runDirectory);
        RoundRobinBalancer balancer = new RoundRobinBalancer(entryVms(fleet))) {
      warmUp(balancer, seed);
      if (scenario.straggler) {
        String slow = "slowdown=" + scenario.stragglerSlowdown();
        fleet.control(fleet.endpoints().get("engine-1").address(), slow);
      }
      return measure(fleet, balancer, policy, demandFactor, seed);
    }
  }

  private LoadResult measure(
      LocalFleet fleet,
      RoundRobinBalancer balancer,
      EntryPolicy policy,
      double demandFactor,
      long seed)
      throws IOException, InterruptedException {
    final EngineCounts countsBefore = engineCounts(fleet);
    final AtomicReference<EngineCounts> killedEngineCounts =
        new AtomicReference<>(new EngineCounts(0, 0));
    ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
    if (scenario.crash) {
      long afterMs = scenario.seconds * MS_PER_SECOND / 2;
      faults.schedule(
          () -> killedEngineCounts.set(killLastEngine(fleet)), afterMs, TimeUnit.MILLISECONDS);
    }
    double perSecond = demandFactor * scenario.capacityPerSecond(workload);
    List<Arrival> arrivals =
        ArrivalGenerator.generate(workload, scenario.loadProfile(seed, perSecond));
    LoadGenerator generator = newLoadGenerator(balancer, "run-" + seed);
    generator.send(arrivals);
    faults.shutdownNow();
    EngineCounts countsAfter = engineCounts(fleet).plus(killedEngineCounts.get());
    return toResult(policy, demandFactor, seed, generator, arrivals, countsBefore, countsAfter);
  }

  private LoadResult toResult(
      EntryPolicy policy,
      double demandFactor,
      long seed,
      LoadGenerator generator,
      List<Arrival> arrivals,
      EngineCounts countsBefore,
      EngineCounts countsAfter) {
    List<ClassStats.Row> rows = generator.rows();
    long attained = rows.stream().mapToLong(ClassStats.Row::attained).sum();
    long generated = countsAfter.generated() - countsBefore.generated();
    double availableMs = scenario.effectiveEngines() * scenario.seconds * MS_PER_SECOND;
    return new LoadResult(
        policy.name(),
        demandFactor,
        seed,
        (double) arrivals.size() / scenario.seconds,
        (double) attained / scenario.seconds,
        generator.attainedEngineMs() / availableMs,
        generated,
        generated - generator.answeredTokens(),
        countsAfter.cancelledBytes() - countsBefore.cancelledBytes(),
        generator.worstStartDelayMs(),
        rows);
  }

  private void warmUp(RoundRobinBalancer balancer, long seed)
      throws IOException, InterruptedException {
    double perSecond = WARM_UP_DEMAND_FACTOR * scenario.capacityPerSecond(workload);
    LoadProfile profile =
        new LoadProfile(
            seed + WARM_UP_SEED_OFFSET,
            perSecond,
            WARM_UP_MS,
            scenario.organisations,
            Optional.empty());
    newLoadGenerator(balancer, "warm-up-" + seed)
        .send(ArrivalGenerator.generate(workload, profile));
  }

  private LoadGenerator newLoadGenerator(RoundRobinBalancer balancer, String name)
      throws IOException {
    return new LoadGenerator(
        balancer,
        IntStream.range(0, scenario.organisations)
            .mapToObj(FleetExperiment::organisationKey)
            .toList(),
        LatencyTargets.byClass(workload.rulesJson()),
        scenario.engineProfile(),
        scenario.retries,
        name);
  }

  private FleetSpec fleetSpec(EntryPolicy policy) throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, scenario.entries)
            .models(workload.models().toArray(String[]::new))
            .engineSlots(scenario.slots)
            .service("service-1", ZONE, workload.service())
            .document("rules", workload.rulesJson())
            .document("organisations", organisationsJson())
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

  private String organisationsJson() {
    ArrayNode rows = mapper.createArrayNode();
    for (int i = 0; i < scenario.organisations; i++) {
      rows.addObject()
          .put("name", "organisation-" + i)
          .put("keySha256", DigestUtils.sha256Hex(organisationKey(i)))
          .put("weight", 1);
    }
    return rows.toString();
  }

  private static String organisationKey(int organisation) {
    return "load-key-" + organisation;
  }

  private static List<RoundRobinBalancer.EntryVm> entryVms(LocalFleet fleet) {
    List<RoundRobinBalancer.EntryVm> entryVms = new ArrayList<>();
    for (LocalFleet.EntryProcess entry : fleet.entries().values()) {
      entryVms.add(
          new RoundRobinBalancer.EntryVm(entry.callerAddress(), Optional.of(entry.adminAddress())));
    }
    return entryVms;
  }

  /** Kills the last engine and returns its counts, which are lost with the process. */
  private EngineCounts killLastEngine(LocalFleet fleet) {
    LocalFleet.EndpointProcess last = fleet.endpoints().get("engine-" + scenario.engines);
    EngineCounts counts = countsOf(last);
    last.process().kill();
    return counts;
  }

  /** Returns the sum of the counts of all engines that run. */
  private EngineCounts engineCounts(LocalFleet fleet) {
    EngineCounts sum = new EngineCounts(0, 0);
    for (LocalFleet.EndpointProcess endpoint : fleet.endpoints().values()) {
      if (endpoint.name().startsWith("engine") && endpoint.process().isAlive()) {
        sum = sum.plus(countsOf(endpoint));
      }
    }
    return sum;
  }

  private EngineCounts countsOf(LocalFleet.EndpointProcess engine) {
    try {
      JsonNode counts = mapper.readTree(LocalFleet.get(engine.address(), "/counts").body());
      return new EngineCounts(
          counts.path("generated").asLong(), counts.path("cancelledBytes").asLong());
    } catch (IOException e) {
      throw new IllegalStateException(
          engine.name() + " returned no readable answer to GET /counts", e);
    }
  }
}
