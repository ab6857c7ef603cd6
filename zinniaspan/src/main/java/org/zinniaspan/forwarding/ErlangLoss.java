package org.zinniaspan.forwarding;

/**
 * Erlang's loss formula: how many requests an endpoint without a queue rejects. All methods are
 * pure functions. Their time grows with the slots, of which at most {@value
 * ListedEndpoint#MAX_SLOTS} are counted.
 */
final class ErlangLoss {

  private static final int BISECTIONS = 24;

  private ErlangLoss() {}

  /**
   * Returns the share of randomly arriving requests that find all slots taken.
   *
   * @param load mean number of requests that would be in progress if none was rejected
   */
  static double rejectedShare(double load, int slots) {
    int counted = Math.min(slots, ListedEndpoint.MAX_SLOTS);
    double share = 1;
    for (int number = 1; number <= counted; number++) {
      share = load * share / (number + load * share);
    }
    return share;
  }

  /**
   * Returns the highest rate of requests at which an endpoint rejects at most so many, in requests
   * a second.
   *
   * @param slotMs mean time for which a request occupies a slot, in milliseconds
   * @param rejectionsPerSecond rejections a second that are accepted, above 0
   */
  static double highestRate(int slots, double slotMs, double rejectionsPerSecond) {
    double low = 0;
    double high = Math.min(slots, ListedEndpoint.MAX_SLOTS);
    for (int i = 0; i < BISECTIONS; i++) {
      double load = (low + high) / 2;
      double rejections = load * rejectedShare(load, slots) * 1_000 / slotMs;
      if (rejections <= rejectionsPerSecond) {
        low = load;
      } else {
        high = load;
      }
    }
    return low * 1_000 / slotMs;
  }
}
