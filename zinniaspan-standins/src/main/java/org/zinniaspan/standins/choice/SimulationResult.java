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
  private final Map<String, Integer> inTime = new HashMap<>();
  private final Map<String, Histogram> firstTokens = new HashMap<>();
  private final Map<String, Integer> late = new HashMap<>();
  private int answered;
  private int all;

  void arrived(ServiceClass serviceClass) {
    all++;
    requests.merge(serviceClass.name(), 1, Integer::sum);
  }

  void firstToken(ServiceClass serviceClass, double ms) {
    firstTokens
        .computeIfAbsent(serviceClass.name(), name -> new Histogram(3))
        .recordValue((long) ms);
    if (ms > serviceClass.firstTokenTargetMs()) {
      late.merge(serviceClass.name(), 1, Integer::sum);
    }
  }

  void ended(ServiceClass serviceClass, boolean whole, int tokens) {
    if (whole) {
      answered++;
      inTime.merge(serviceClass.name(), 1, Integer::sum);
    }
  }

  /** Returns the share of requests of a class answered whole with the first token in time. */
  double attainment(String serviceClass) {
    int good = inTime.getOrDefault(serviceClass, 0) - late.getOrDefault(serviceClass, 0);
    return 100.0 * good / requests.getOrDefault(serviceClass, 1);
  }

  /** Returns the share of all requests answered whole with the first token in time. */
  double goodput() {
    int tooLate = late.values().stream().mapToInt(Integer::intValue).sum();
    return 100.0 * (answered - tooLate) / all;
  }

  double firstTokenMs(String serviceClass, double percentile) {
    return firstTokens.get(serviceClass).getValueAtPercentile(percentile);
  }

  int requests() {
    return all;
  }
}
