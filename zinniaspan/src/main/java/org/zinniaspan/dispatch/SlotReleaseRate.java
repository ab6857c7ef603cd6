package org.zinniaspan.dispatch;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Estimates the rate at which slots become free, from measured hold times.
 *
 * <p>Each service class has an exponential moving average of the time for which it holds a slot.
 * Each slot that a class holds now becomes free at the inverse of that average.
 */
final class SlotReleaseRate {

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final long GRANT_WINDOW_MS = 4_000;
  private static final Set<SlotResult> EXECUTED_RESULTS =
      EnumSet.of(SlotResult.COMPLETED, SlotResult.BROKEN, SlotResult.CANCELLED);

  private final Map<String, MovingAverage> holdMs = new HashMap<>();
  private final Map<String, MovingAverage> firstTokenMs = new HashMap<>();
  private final Map<String, Integer> heldByClass = new HashMap<>();
  private final MovingAverage anyHoldMs = new MovingAverage();
  private final GrantCounter grants = new GrantCounter(GRANT_WINDOW_MS);

  void recordGrant(QueueEntry entry, long nowMs) {
    recordHeld(entry);
    grants.add(entry.tier(), nowMs);
  }

  void recordHeld(QueueEntry entry) {
    heldByClass.merge(className(entry), 1, Integer::sum);
  }

  void recordRemoved(QueueEntry entry) {
    heldByClass.merge(className(entry), -1, Integer::sum);
  }

  void recordEnd(QueueEntry entry, SlotUse use, long nowMs) {
    recordRemoved(entry);
    if (entry.isAdopted() || !EXECUTED_RESULTS.contains(use.result())) {
      return;
    }
    double ms = Math.max(1, nowMs - entry.heldSinceMs());
    average(holdMs, entry).add(ms);
    anyHoldMs.add(ms);
    if (use.firstTokenMs() > 0) {
      average(firstTokenMs, entry).add(use.firstTokenMs());
    }
  }

  /** Returns the slots that become free per millisecond, empty while nothing was measured. */
  OptionalDouble slotsPerMs() {
    if (!anyHoldMs.isKnown()) {
      return OptionalDouble.empty();
    }
    double sum = 0;
    for (Map.Entry<String, Integer> held : heldByClass.entrySet()) {
      MovingAverage average = holdMs.getOrDefault(held.getKey(), anyHoldMs);
      sum += held.getValue() / average.value();
    }
    return OptionalDouble.of(sum);
  }

  /**
   * Returns the grants per millisecond to tiers above the given one, averaged over a sliding
   * window.
   */
  double grantsAbove(int tier, long nowMs) {
    return grants.countAbove(tier, nowMs) / (double) GRANT_WINDOW_MS;
  }

  /**
   * Returns the average milliseconds from sending a request to its first token, for the class of
   * the entry; zero if not measured.
   */
  double firstTokenMs(QueueEntry entry) {
    return firstTokenMs.getOrDefault(className(entry), MovingAverage.NONE).value();
  }

  private static String className(QueueEntry entry) {
    return entry.request().serviceClass().name();
  }

  private static MovingAverage average(Map<String, MovingAverage> averages, QueueEntry entry) {
    return averages.computeIfAbsent(className(entry), name -> new MovingAverage());
  }

  private static final class MovingAverage {

    private static final MovingAverage NONE = new MovingAverage();

    private double value;
    private boolean known;

    void add(double sample) {
      value = known ? value + SMOOTHING_FACTOR * (sample - value) : sample;
      known = true;
    }

    double value() {
      return value;
    }

    boolean isKnown() {
      return known;
    }
  }
}
