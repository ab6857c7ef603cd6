package org.zinniaspan.standins.simulation;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.standins.StandinCommand;

/**
 * Compares policies of granting slots in virtual time, by the attainment of each class.
 *
 * <p>All policies get the same arrivals for the same seed.
 */
@Parameters(commandDescription = "Compare policies of granting slots, in virtual time.")
public final class SimulateSlotsCommand implements StandinCommand {

  private static final double PERCENT = 100;

  @Parameter(names = "--seed", description = "First seed.")
  long seed = 1;

  @Parameter(names = "--seeds", description = "Number of seeds; they are consecutive.")
  int seeds = 5;

  @Parameter(
      names = "--load",
      description = "Demands as multiples of the capacity, separated by commas.")
  List<Double> loads = new ArrayList<>(List.of(0.7, 1.0, 2.0));

  @Override
  public int run() {
    System.out.println("| load | policy | class | in time % (min-max) | refused % | late % |");
    System.out.println("|---|---|---|---|---|---|");
    for (double load : loads) {
      for (SlotPolicy policy : SlotPolicy.values()) {
        printComparison(load, policy);
      }
    }
    return 0;
  }

  private void printComparison(double load, SlotPolicy policy) {
    Map<String, List<ClassTally>> byClass = new LinkedHashMap<>();
    DoubleSummaryStatistics goodput = new DoubleSummaryStatistics();
    for (long s = seed; s < seed + seeds; s++) {
      SlotSimulation simulation = new SlotSimulation(policy, load, s);
      simulation
          .run()
          .forEach(
              (name, tally) -> byClass.computeIfAbsent(name, n -> new ArrayList<>()).add(tally));
      goodput.accept(simulation.goodputPerSecond());
    }
    byClass.forEach((name, tallies) -> printRow(load, policy, name, tallies));
    System.out.printf(
        Locale.ROOT,
        "| %.1f | %s | all, goodput/s | %.1f (%.1f-%.1f) | | |%n",
        load,
        policy,
        goodput.getAverage(),
        goodput.getMin(),
        goodput.getMax());
  }

  private static void printRow(
      double load, SlotPolicy policy, String name, List<ClassTally> tallies) {
    DoubleSummaryStatistics inTime = percentStatistics(tallies, ClassTally::attainment);
    System.out.printf(
        Locale.ROOT,
        "| %.1f | %s | %s | %.1f (%.1f-%.1f) | %.1f | %.1f |%n",
        load,
        policy,
        name,
        inTime.getAverage(),
        inTime.getMin(),
        inTime.getMax(),
        percentStatistics(tallies, ClassTally::refusedShare).getAverage(),
        percentStatistics(tallies, ClassTally::lateShare).getAverage());
  }

  private static DoubleSummaryStatistics percentStatistics(
      List<ClassTally> tallies, ToDoubleFunction<ClassTally> share) {
    return tallies.stream().mapToDouble(share).map(x -> PERCENT * x).summaryStatistics();
  }
}
