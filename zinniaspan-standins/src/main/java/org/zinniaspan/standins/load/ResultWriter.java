package org.zinniaspan.standins.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Writes the results of several runs as JSON, as a Markdown table or as a plot. */
final class ResultWriter {

  private static final double PERCENT = 100;
  private static final int PLOT_WIDTH = 1_200;
  private static final int PLOT_HEIGHT = 600;

  private ResultWriter() {}

  /** Writes the results as indented JSON; creates the directory of the file if it is missing. */
  static void writeJson(Path file, List<LoadResult> results) throws IOException {
    if (file.getParent() != null) {
      Files.createDirectories(file.getParent());
    }
    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(file.toFile(), results);
  }

  /**
   * Returns a Markdown table with one row for each policy and demand: the mean over the seeds, with
   * minimum and maximum if there are several.
   */
  static String toTable(List<LoadResult> results) {
    StringBuilder text = new StringBuilder();
    Set<String> classes = classNames(results);
    text.append("| policy | demand | goodput/s | useful engine time | wasted tokens |");
    classes.forEach(name -> text.append(' ').append(name).append(" |"));
    text.append("\n|---|---|---|---|---|").append("---|".repeat(classes.size())).append('\n');
    for (List<LoadResult> group : groupByPolicyAndDemand(results).values()) {
      LoadResult first = group.get(0);
      text.append(String.format(Locale.ROOT, "| %s | %.1f |", first.policy(), first.demand()));
      appendCell(text, group, LoadResult::goodputPerSecond, "");
      appendCell(text, group, result -> PERCENT * result.usefulShare(), "%");
      appendCell(text, group, result -> PERCENT * result.wastedShare(), "%");
      classes.forEach(name -> appendCell(text, group, result -> attainment(result, name), "%"));
      text.append('\n');
    }
    return text.toString();
  }

  private static void appendCell(
      StringBuilder text, List<LoadResult> group, ToDoubleFunction<LoadResult> value, String unit) {
    DoubleSummaryStatistics statistics = group.stream().mapToDouble(value).summaryStatistics();
    String format = group.size() == 1 ? " %.1f%s |" : " %.1f%s (%.1f to %.1f) |";
    text.append(
        String.format(
            Locale.ROOT,
            format,
            statistics.getAverage(),
            unit,
            statistics.getMin(),
            statistics.getMax()));
  }

  private static double attainment(LoadResult result, String serviceClass) {
    return result.rows().stream()
        .filter(row -> row.serviceClass().equals(serviceClass))
        .mapToDouble(row -> PERCENT * row.attainment())
        .findFirst()
        .orElse(0);
  }

  private static Set<String> classNames(List<LoadResult> results) {
    Set<String> names = new LinkedHashSet<>();
    results.forEach(result -> result.rows().forEach(row -> names.add(row.serviceClass())));
    return names;
  }

  private static Map<String, List<LoadResult>> groupByPolicyAndDemand(List<LoadResult> results) {
    Map<String, List<LoadResult>> groups = new LinkedHashMap<>();
    for (LoadResult result : results) {
      String key = result.policy() + " at " + result.demand();
      groups.computeIfAbsent(key, name -> new ArrayList<>()).add(result);
    }
    return groups;
  }

  /** Writes a bar chart of each class's attainment and of the useful engine time as an SVG file. */
  static void writePlot(Path file, List<LoadResult> results) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(PLOT_WIDTH)
            .height(PLOT_HEIGHT)
            .title("Attainment by class and useful engine time, mean over the seeds")
            .yAxisTitle("percent")
            .build();
    chart.getStyler().setYAxisMin(0.0).setYAxisMax(PERCENT);
    List<String> bars = new ArrayList<>(classNames(results));
    bars.add("useful engine time");
    groupByPolicyAndDemand(results)
        .forEach((name, group) -> chart.addSeries(name, bars, barHeights(group, bars)));
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }

  private static List<Double> barHeights(List<LoadResult> group, List<String> bars) {
    List<Double> heights = new ArrayList<>();
    for (String bar : bars.subList(0, bars.size() - 1)) {
      heights.add(mean(group, result -> attainment(result, bar)));
    }
    heights.add(Math.min(PERCENT, mean(group, result -> PERCENT * result.usefulShare())));
    return heights;
  }

  private static double mean(List<LoadResult> group, ToDoubleFunction<LoadResult> value) {
    return group.stream().mapToDouble(value).average().orElse(0);
  }
}
