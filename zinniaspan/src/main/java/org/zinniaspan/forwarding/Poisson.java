package org.zinniaspan.forwarding;

/** The Poisson distribution: how many independent events a second has. */
final class Poisson {

  private static final int BISECTIONS = 24;

  private Poisson() {}

  /** Returns the probability of more than so many events. */
  static double exceeds(int events, double mean) {
    double probability = Math.exp(-mean);
    double atMost = probability;
    for (int number = 1; number <= events; number++) {
      probability *= mean / number;
      atMost += probability;
    }
    return 1 - atMost;
  }

  /** Returns the highest mean at which there are seldom more than so many events. */
  static double highestMean(int events, double maxProbability) {
    double low = 0;
    double high = events + 1;
    for (int i = 0; i < BISECTIONS; i++) {
      double mean = (low + high) / 2;
      if (exceeds(events, mean) <= maxProbability) {
        low = mean;
      } else {
        high = mean;
      }
    }
    return low;
  }
}
