package org.zinniaspan.forwarding;

import java.util.Arrays;
import java.util.Map;

/**
 * Decides whose requests are refused when a part of a rank's requests has to be.
 *
 * <p>It answers one organisation at many times its usual beside others: the excess is taken from
 * the organisations with the most work, down to an equal share, before any other one loses a
 * request (max-min fairness).
 */
final class FairShares {

  /** Factor by which an organisation may exceed an equal share by chance. */
  private static final double EXCESS_FACTOR = 2;

  private FairShares() {}

  /**
   * Returns the share of an organisation's requests that is refused.
   *
   * @param demand requests of the organisation's rank
   * @param organisation its name
   * @param shed share of the rank's work that has to be refused
   */
  static double refusedShare(PressureDemand.Rank demand, String organisation, double shed) {
    double[] works = new double[demand.work().size() + Math.max(0, demand.others())];
    int count = 0;
    for (Map.Entry<String, Double> entry : demand.work().entrySet()) {
      works[count++] = entry.getValue();
    }
    double mean = demand.others() > 0 ? demand.otherWork() / demand.others() : 0;
    Arrays.fill(works, count, works.length, mean);
    double sum = Arrays.stream(works).sum();
    if (sum <= 0 || shed >= 1) {
      return shed;
    }
    double level = level(works, (1 - shed) * sum);
    double work = demand.work().getOrDefault(organisation, mean);
    return work <= level ? 0 : 1 - level / work;
  }

  /** Returns whether an organisation has more than an equal share of a rank's work. */
  static boolean isAboveEqualShare(PressureDemand.Rank demand, String organisation) {
    double sum = demand.otherWork() + demand.work().values().stream().mapToDouble(w -> w).sum();
    int count = demand.work().size() + Math.max(0, demand.others());
    return demand.work().getOrDefault(organisation, 0.0) > EXCESS_FACTOR * sum / Math.max(1, count);
  }

  /** Returns the largest work that each may have if all of it together is to fit. */
  private static double level(double[] works, double capacity) {
    double[] sorted = works.clone();
    Arrays.sort(sorted);
    double left = Math.max(0, capacity);
    for (int i = 0; i < sorted.length; i++) {
      double equal = left / (sorted.length - i);
      if (sorted[i] >= equal) {
        return equal;
      }
      left -= sorted[i];
    }
    return Double.MAX_VALUE;
  }
}
