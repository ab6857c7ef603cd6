package org.zinniaspan.standins.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.standins.StandinCommand;

/**
 * Sends the requests of one workload to entry VMs and prints the results by class.
 *
 * <p>Without {@code --entry} the command starts a local fleet. Example: {@code zinniaspan-standins
 * load --firm placa-limpa --demand 0.7 --straggler}.
 */
@Parameters(
    commandDescription = "Send a firm's requests at a given demand and measure the outcomes.")
public final class LoadCommand implements StandinCommand {

  private static final long MS_PER_SECOND = 1_000;

  @ParametersDelegate private final ScenarioSettings scenario = new ScenarioSettings();

  @Parameter(names = "--demand", description = "Demand as a factor of the capacity.")
  double demand = 0.7;

  @Parameter(names = "--seed", description = "Seed of the requests.")
  long seed = 1;

  @Parameter(
      names = "--policy",
      description = "Policy as NAME=FLAGS of the entry VMs that the command starts.")
  String policy = "default";

  @Parameter(names = "--entry", description = "Address of a running entry VM; repeatable.")
  List<String> entryAddresses = new ArrayList<>();

  @Parameter(
      names = "--key",
      description = "API key of an organisation, required with --entry; repeatable.")
  List<String> keys = new ArrayList<>();

  @Parameter(names = "--json", description = "JSON file for the results.")
  String json = "";

  @Parameter(
      names = "--logs",
      description = "Directory for process logs; default: a new temporary directory.")
  String logs = "";

  @Override
  public int run() throws Exception {
    LoadResult result = entryAddresses.isEmpty() ? runOwnFleet() : runAgainstRunningFleet();
    System.out.print(result.toTable());
    if (!json.isEmpty()) {
      ResultWriter.writeJson(Path.of(json), List.of(result));
    }
    return 0;
  }

  private LoadResult runOwnFleet() throws Exception {
    Path logDirectory =
        logs.isEmpty() ? Files.createTempDirectory("zinniaspan-load") : Path.of(logs);
    return new FleetExperiment(scenario, logDirectory).run(EntryPolicy.parse(policy), demand, seed);
  }

  private LoadResult runAgainstRunningFleet() throws Exception {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("--entry needs at least one --key");
    }
    Workload workload = Workload.byName(scenario.firm);
    scenario.organisations = keys.size();
    double perSecond = demand * scenario.capacityPerSecond(workload);
    List<Arrival> arrivals =
        ArrivalGenerator.generate(workload, scenario.loadProfile(seed, perSecond));
    List<RoundRobinBalancer.EntryVm> entryVms =
        entryAddresses.stream()
            .map(
                address ->
                    new RoundRobinBalancer.EntryVm(Addresses.parse(address), Optional.empty()))
            .toList();
    try (RoundRobinBalancer balancer = new RoundRobinBalancer(entryVms)) {
      LoadGenerator generator =
          new LoadGenerator(
              balancer,
              keys,
              LatencyTargets.byClass(workload.rulesJson()),
              scenario.engineProfile(),
              scenario.retries,
              "load-" + System.currentTimeMillis());
      generator.send(arrivals);
      return toResult(generator, arrivals);
    }
  }

  /** Returns the callers' results; engine counts are 0, as the engines are not reachable. */
  private LoadResult toResult(LoadGenerator generator, List<Arrival> arrivals) {
    List<ClassStats.Row> rows = generator.rows();
    long attained = rows.stream().mapToLong(ClassStats.Row::attained).sum();
    double availableMs = scenario.effectiveEngines() * scenario.seconds * MS_PER_SECOND;
    return new LoadResult(
        "running",
        demand,
        seed,
        (double) arrivals.size() / scenario.seconds,
        (double) attained / scenario.seconds,
        generator.attainedEngineMs() / availableMs,
        0,
        0,
        0,
        generator.worstStartDelayMs(),
        rows);
  }
}
