package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The recent requests to the engines of one service by priority rank, of one VM or the sum of
 * several.
 *
 * @param service name of the service
 * @param ranks demand of each rank that has requests
 */
public record PressureDemand(String service, Map<Integer, Rank> ranks) {

  /** Makes a defensive copy of the map. */
  public PressureDemand {
    ranks = Map.copyOf(ranks);
  }

  /**
   * The recent requests of one rank; counts are decayed.
   *
   * @param offered requests
   * @param late those that even the best engine was expected to answer too late
   * @param admittedAgeMs time since one was admitted, in milliseconds
   * @param work prompt tokens of the organisations with the most, by name
   * @param otherWork prompt tokens of all other organisations
   * @param others number of these organisations, as far as one VM knows
   */
  public record Rank(
      double offered,
      double late,
      long admittedAgeMs,
      Map<String, Double> work,
      double otherWork,
      int others) {

    /** Makes a defensive copy of the map. */
    public Rank {
      work = Map.copyOf(work);
    }

    /** Returns the share of the requests that were expected to be late. */
    double lateShare() {
      return offered <= 0 ? 0 : Math.min(1, late / offered);
    }

    private Rank olderBy(long ms) {
      return new Rank(offered, late, admittedAgeMs + ms, work, otherWork, others);
    }

    private Rank plus(Rank other) {
      Map<String, Double> sums = new HashMap<>(work);
      other.work.forEach((name, amount) -> sums.merge(name, amount, Double::sum));
      return new Rank(
          offered + other.offered,
          late + other.late,
          Math.min(admittedAgeMs, other.admittedAgeMs),
          sums,
          otherWork + other.otherWork,
          Math.max(others, other.others));
    }
  }

  /** Returns the demand with its times longer ago. */
  public PressureDemand olderBy(long ms) {
    Map<Integer, Rank> older = new HashMap<>();
    ranks.forEach((rank, demand) -> older.put(rank, demand.olderBy(ms)));
    return new PressureDemand(service, older);
  }

  /** Returns the sums by service. */
  public static List<PressureDemand> sum(Iterable<PressureDemand> demands) {
    Map<String, Map<Integer, Rank>> sums = new TreeMap<>();
    for (PressureDemand demand : demands) {
      Map<Integer, Rank> ranks = sums.computeIfAbsent(demand.service(), name -> new TreeMap<>());
      demand.ranks().forEach((rank, added) -> ranks.merge(rank, added, Rank::plus));
    }
    return sums.entrySet().stream()
        .map(entry -> new PressureDemand(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Returns the largest share of late requests among the ranks more urgent than one. */
  double lateShareAbove(int rank, double minOffered) {
    return ranks.entrySet().stream()
        .filter(entry -> entry.getKey() < rank && entry.getValue().offered() >= minOffered)
        .mapToDouble(entry -> entry.getValue().lateShare())
        .max()
        .orElse(0);
  }

  /** Returns whether a request less urgent than a rank was admitted within a time. */
  boolean isLessUrgentAdmitted(int rank, long withinMs) {
    return ranks.entrySet().stream()
        .anyMatch(entry -> entry.getKey() > rank && entry.getValue().admittedAgeMs() < withinMs);
  }
}
