package org.zinniaspan.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Draws the requests of a run: the same demand gives the same requests. */
final class Arrivals {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final double LENGTH_SIGMA = 0.8;
  private static final int SHORTEST_ANSWER = 4;
  private static final int LONGEST_ANSWER_FACTOR = 6;

  private Arrivals() {}

  /** Returns the requests in order of time; each kind arrives as a Poisson process. */
  static List<Arrival> draw(Workload workload, Demand demand) {
    List<Arrival> arrivals = new ArrayList<>();
    double[] organisations = zipf(demand.organisations());
    for (RequestKind kind : workload.kinds()) {
      Random random = new Random(demand.seed() * 31 + kind.serviceClass().hashCode());
      double atMs = gapMs(random, demand, kind, 0);
      while (atMs < demand.lengthMs()) {
        int organisation = pick(organisations, random.nextDouble());
        int tokens = kind.chat().map(chat -> length(random, chat.meanTokens())).orElse(0);
        arrivals.add(new Arrival(atMs, kind, organisation, arrivals.size(), tokens));
        atMs += gapMs(random, demand, kind, atMs);
      }
    }
    arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
    return arrivals;
  }

  private static double gapMs(Random random, Demand demand, RequestKind kind, double atMs) {
    double perSecond = demand.perSecond() * kind.share() * factor(demand, kind, atMs);
    return -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / perSecond;
  }

  private static double factor(Demand demand, RequestKind kind, double atMs) {
    double third = demand.lengthMs() / 3.0;
    boolean middle = atMs >= third && atMs < 2 * third;
    return demand
        .burst()
        .filter(burst -> middle && burst.serviceClass().equals(kind.serviceClass()))
        .map(Demand.Burst::factor)
        .orElse(1.0);
  }

  /** Returns the cumulated shares of the organisations, largest first. */
  static double[] zipf(int count) {
    double[] cumulated = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += Math.pow(i + 1, -ZIPF_EXPONENT);
      cumulated[i] = sum;
    }
    for (int i = 0; i < count; i++) {
      cumulated[i] /= sum;
    }
    return cumulated;
  }

  private static int pick(double[] cumulated, double value) {
    int index = 0;
    while (index < cumulated.length - 1 && cumulated[index] < value) {
      index++;
    }
    return index;
  }

  private static int length(Random random, int mean) {
    double logMean = Math.log(mean) - LENGTH_SIGMA * LENGTH_SIGMA / 2;
    int drawn = (int) Math.round(Math.exp(logMean + LENGTH_SIGMA * random.nextGaussian()));
    return Math.max(SHORTEST_ANSWER, Math.min(drawn, mean * LONGEST_ANSWER_FACTOR));
  }
}
