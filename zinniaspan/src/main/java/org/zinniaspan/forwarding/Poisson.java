package org.zinniaspan.forwarding;

/**
 * The Poisson distribution: how many independent events a second has. The time of its methods grows
 * with the events, of which at most {@value #MAX_EVENTS} are counted.
 */
final class Poisson {

  private static final int MAX_EVENTS = 1_000;
  private static final int BISECTIONS = 24;

  private Poisson() {}

  /** Returns the probability of more than so many events. */
  static double exceeds(int events, double mean) {
    int counted = Math.min(events, MAX_EVENTS);
    double probability = Math.exp(-mean);
    double atMost = probability;
    for (int number = 1; number <= counted; number++) {
      probability *= mean / number;
      atMost += probability;
    }
    return 1 - atMost;
  }

  /** Returns the highest mean at which there are seldom more than so many events. */
  static double highestMean(int events, double maxProbability) {
    double low = 0;
    double high = Math.min(events, MAX_EVENTS) + 1;
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
