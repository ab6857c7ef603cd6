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
 * Sends the requests of a firm to entry VMs and prints what became of them.
 *
 * <p>Without {@code --entry} it starts a fleet of its own. Example: {@code zinniaspan-standins load
 * --firm placa-limpa --demand 0.7 --straggler}.
 */
@Parameters(commandDescription = "Send a firm's requests at a given demand and measure.")
public final class LoadCommand implements StandinCommand {

  private static final long MS_PER_SECOND = 1_000;

  @ParametersDelegate private final ScenarioSettings scenario = new ScenarioSettings();

  @Parameter(names = "--demand", description = "Demand as a factor of the capacity.")
  double demand = 0.7;

  @Parameter(names = "--seed", description = "Seed of the requests.")
  long seed = 1;

  @Parameter(names = "--policy", description = "NAME=FLAGS of the entry VMs that it starts.")
  String policy = "default";

  @Parameter(names = "--entry", description = "Address of a running entry VM; may be repeated.")
  List<String> addresses = new ArrayList<>();

  @Parameter(names = "--key", description = "Key of an organisation, for --entry; repeatable.")
  List<String> keys = new ArrayList<>();

  @Parameter(names = "--json", description = "File for the figures.")
  String json = "";

  @Parameter(names = "--logs", description = "Folder for the logs of the processes.")
  String logs = "";

  @Override
  public int run() throws Exception {
    LoadResult result = addresses.isEmpty() ? ownFleet() : runningFleet();
    System.out.print(result.table());
    if (!json.isEmpty()) {
      Reports.writeJson(Path.of(json), List.of(result));
    }
    return 0;
  }

  private LoadResult ownFleet() throws Exception {
    Path folder = logs.isEmpty() ? Files.createTempDirectory("zinniaspan-load") : Path.of(logs);
    return new FleetRun(scenario, folder).run(Policy.parse(policy), demand, seed);
  }

  private LoadResult runningFleet() throws Exception {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("--entry needs at least one --key");
    }
    Workload workload = Workload.named(scenario.firm);
    scenario.organisations = keys.size();
    double perSecond = demand * scenario.capacityPerSecond(workload);
    List<Arrival> arrivals = Arrivals.draw(workload, scenario.demand(seed, perSecond));
    List<Balancer.Target> targets =
        addresses.stream()
            .map(address -> new Balancer.Target(Addresses.parse(address), Optional.empty()))
            .toList();
    try (Balancer balancer = new Balancer(targets)) {
      LoadRun run =
          new LoadRun(
              balancer,
              keys,
              Target.of(workload.rules()),
              scenario.engine(),
              scenario.retries,
              "load-" + System.currentTimeMillis());
      run.send(arrivals);
      return result(run, arrivals);
    }
  }

  private LoadResult result(LoadRun run, List<Arrival> arrivals) {
    List<ClassStats.Row> rows = run.rows();
    long attained = rows.stream().mapToLong(ClassStats.Row::attained).sum();
    double availableMs = scenario.worthEngines() * scenario.seconds * MS_PER_SECOND;
    return new LoadResult(
        "running",
        demand,
        seed,
        (double) arrivals.size() / scenario.seconds,
        (double) attained / scenario.seconds,
        run.attainedEngineMs() / availableMs,
        0,
        0,
        0,
        run.worstStartDelayMs(),
        rows);
  }
}
