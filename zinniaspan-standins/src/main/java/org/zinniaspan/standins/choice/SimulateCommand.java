package org.zinniaspan.standins.choice;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EstimatedFirstToken;
import org.zinniaspan.routing.LeastReportedLoad;
import org.zinniaspan.routing.RandomChoice;
import org.zinniaspan.routing.RoundRobin;
import org.zinniaspan.standins.StandinCommand;

/**
 * Compares policies of endpoint choice, ejection and hedging in virtual time; the same seeds give
 * the same table.
 *
 * <p>Example: {@code bin/zinniaspan-standins simulate --rate 30 --seeds 5}. Lines that begin with a
 * brace are log events of the ejections.
 */
@Parameters(commandDescription = "Compare endpoint choice, ejection and hedging in virtual time.")
public final class SimulateCommand implements StandinCommand {

  private static final String COUNTER_CLASS = "counter-question";

  @Parameter(names = "--rate", description = "Requests per second.")
  double rate = 30;

  @Parameter(names = "--seeds", description = "Number of runs of each policy; seeds are 1, 2, ...")
  int seeds = 5;

  /** A row of the table: a policy with the faults that it meets. */
  private record Scenario(
      String name, LongFunction<EndpointChooser> chooser, ChoiceSimulation.Options options) {}

  @Override
  public int run() {
    System.out.printf(
        "%-44s %15s %15s %9s %9s %8s %8s%n",
        "policy and faults", "counter in time", "goodput", "p50 ms", "p95 ms", "retries", "hedges");
    scenarios().forEach(this::printRow);
    OutputLengthComparison.print(1);
    return 0;
  }

  private List<Scenario> scenarios() {
    Map<String, LongFunction<EndpointChooser>> choosers = new LinkedHashMap<>();
    choosers.put("estimated", EstimatedFirstToken::new);
    choosers.put("least-load", seed -> new LeastReportedLoad());
    choosers.put("round-robin", seed -> new RoundRobin());
    choosers.put("random", RandomChoice::new);
    List<Scenario> scenarios = new ArrayList<>();
    for (boolean ejection : new boolean[] {true, false}) {
      choosers.forEach(
          (name, chooser) -> {
            String suffix = ejection ? "" : ", no ejection";
            scenarios.add(
                newScenario(name + ", no fault" + suffix, chooser, false, ejection, false));
            scenarios.add(newScenario(name + ", faults" + suffix, chooser, true, ejection, false));
          });
    }
    LongFunction<EndpointChooser> estimated = choosers.get("estimated");
    scenarios.add(newScenario("estimated, no fault, hedging", estimated, false, true, true));
    scenarios.add(newScenario("estimated, faults, hedging", estimated, true, true, true));
    scenarios.add(
        newScenario("estimated, faults, no ejection, hedging", estimated, true, false, true));
    return scenarios;
  }

  private Scenario newScenario(
      String name,
      LongFunction<EndpointChooser> chooser,
      boolean faults,
      boolean ejection,
      boolean hedging) {
    return new Scenario(
        name, chooser, new ChoiceSimulation.Options(rate, faults, faults, ejection, hedging));
  }

  private void printRow(Scenario scenario) {
    List<SimulationResult> results = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      results.add(
          new ChoiceSimulation(scenario.options(), scenario.chooser().apply(seed), seed).run());
    }
    System.out.printf(
        "%-44s %15s %15s %9.0f %9.0f %8.0f %8.0f%n",
        scenario.name(),
        meanAndMin(results, result -> result.attainment(COUNTER_CLASS)),
        meanAndMin(results, SimulationResult::goodput),
        mean(results, result -> result.firstTokenMs(COUNTER_CLASS, 50)),
        mean(results, result -> result.firstTokenMs(COUNTER_CLASS, 95)),
        mean(results, result -> result.retries),
        mean(results, result -> result.hedges));
  }

  /** Returns the mean and the minimum over the seeds. */
  private static String meanAndMin(
      List<SimulationResult> results, ToDoubleFunction<SimulationResult> value) {
    double min = results.stream().mapToDouble(value).min().orElse(0);
    return String.format("%.1f (>=%.1f)", mean(results, value), min);
  }

  private static double mean(
      List<SimulationResult> results, ToDoubleFunction<SimulationResult> value) {
    return results.stream().mapToDouble(value).average().orElse(0);
  }
}
