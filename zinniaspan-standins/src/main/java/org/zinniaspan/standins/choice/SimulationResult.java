package org.zinniaspan.standins.choice;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.zinniaspan.inventory.ServiceClass;

/** What one run brought. */
final class SimulationResult {

  int hedges;
  int retries;
  int wastedPrompts;
  private final Map<String, Integer> requests = new HashMap<>();
  private final Map<String, Integer> answeredByClass = new HashMap<>();
  private final Map<String, Histogram> firstTokenHistograms = new HashMap<>();
  private final Map<String, Integer> lateByClass = new HashMap<>();
  private int answered;
  private int requestCount;

  void recordArrival(ServiceClass serviceClass) {
    requestCount++;
    requests.merge(serviceClass.name(), 1, Integer::sum);
  }

  void recordFirstToken(ServiceClass serviceClass, double ms) {
    firstTokenHistograms
        .computeIfAbsent(serviceClass.name(), name -> new Histogram(3))
        .recordValue((long) ms);
    if (ms > serviceClass.firstTokenTargetMs()) {
      lateByClass.merge(serviceClass.name(), 1, Integer::sum);
    }
  }

  void recordEnd(ServiceClass serviceClass, boolean complete, int tokens) {
    if (complete) {
      answered++;
      answeredByClass.merge(serviceClass.name(), 1, Integer::sum);
    }
  }

  /** Returns the share of requests of a class answered whole with the first token in time. */
  double attainment(String serviceClass) {
    int attained =
        answeredByClass.getOrDefault(serviceClass, 0) - lateByClass.getOrDefault(serviceClass, 0);
    return 100.0 * attained / requests.getOrDefault(serviceClass, 1);
  }

  /** Returns the share of all requests answered whole with the first token in time. */
  double goodput() {
    int late = lateByClass.values().stream().mapToInt(Integer::intValue).sum();
    return 100.0 * (answered - late) / requestCount;
  }

  double firstTokenMs(String serviceClass, double percentile) {
    return firstTokenHistograms.get(serviceClass).getValueAtPercentile(percentile);
  }

  int requests() {
    return requestCount;
  }
}
