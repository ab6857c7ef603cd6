package org.zinniaspan.standins.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.standins.StandinCommand;

/**
 * Compares policies: sends the same requests to a new fleet for each demand, policy and seed, one
 * fleet at a time.
 *
 * <p>Example: {@code zinniaspan-standins experiment --policy "rr=--endpoint-policy round-robin"
 * --policy "ll=--endpoint-policy least-load" --demands 0.7,2 --seeds 1,2 --straggler}.
 */
@Parameters(
    commandDescription = "Compare policies of the entry VMs by sending them the same requests.")
public final class ExperimentCommand implements StandinCommand {

  @ParametersDelegate private final ScenarioSettings scenario = new ScenarioSettings();

  @Parameter(
      names = "--policy",
      splitter = NoSplitting.class,
      description = "Policy as NAME=FLAGS of the entry VMs; repeatable.")
  List<String> policies = new ArrayList<>();

  @Parameter(
      names = "--demands",
      description = "Demands as factors of the capacity, separated by commas.")
  List<Double> demands = new ArrayList<>(List.of(0.7, 1.0, 2.0));

  @Parameter(names = "--seeds", description = "Seeds of the requests, separated by commas.")
  List<Long> seeds = new ArrayList<>(List.of(1L, 2L));

  @Parameter(names = "--json", description = "JSON file for the results.")
  String json = "";

  @Parameter(names = "--plot", description = "SVG file for a plot of the results.")
  String plot = "";

  @Parameter(
      names = "--logs",
      description = "Directory for process logs; default: a new temporary directory.")
  String logs = "";

  @Override
  public int run() throws Exception {
    System.setProperty("java.awt.headless", "true");
    Path logDirectory =
        logs.isEmpty() ? Files.createTempDirectory("zinniaspan-experiment") : Path.of(logs);
    FleetExperiment experiment = new FleetExperiment(scenario, logDirectory);
    List<String> policyTexts = policies.isEmpty() ? List.of("default") : policies;
    List<LoadResult> results = new ArrayList<>();
    for (double demand : demands) {
      for (String text : policyTexts) {
        for (long seed : seeds) {
          LoadResult result = experiment.run(EntryPolicy.parse(text), demand, seed);
          System.out.println(result.toTable());
          results.add(result);
        }
      }
    }
    writeReports(results);
    return 0;
  }

  private void writeReports(List<LoadResult> results) throws Exception {
    System.out.print(ResultWriter.toTable(results));
    if (!json.isEmpty()) {
      ResultWriter.writeJson(Path.of(json), results);
    }
    if (!plot.isEmpty()) {
      ResultWriter.writePlot(Path.of(plot), results);
    }
  }
}
