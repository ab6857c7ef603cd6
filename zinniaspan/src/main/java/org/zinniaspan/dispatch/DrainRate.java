package org.zinniaspan.dispatch;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The measured rate at which slots come free.
 *
 * <p>Each class has a moving average of the time for which it holds a slot. The slots held now by a
 * class come free at the inverse of it.
 */
final class DrainRate {

  private static final double LEARNING_RATE = 0.1;
  private static final long GRANT_WINDOW_MS = 4_000;
  private static final Set<SlotResult> RAN =
      EnumSet.of(SlotResult.COMPLETED, SlotResult.BROKEN, SlotResult.CANCELLED);

  private final Map<String, Average> holdMs = new HashMap<>();
  private final Map<String, Average> firstTokenMs = new HashMap<>();
  private final Map<String, Integer> heldByClass = new HashMap<>();
  private final Average anyHoldMs = new Average();
  private final GrantCounter grants = new GrantCounter(GRANT_WINDOW_MS);

  void granted(QueuedAsk entry, long nowMs) {
    adopted(entry);
    grants.add(entry.tier(), nowMs);
  }

  void adopted(QueuedAsk entry) {
    heldByClass.merge(className(entry), 1, Integer::sum);
  }

  void forgotten(QueuedAsk entry) {
    heldByClass.merge(className(entry), -1, Integer::sum);
  }

  void ended(QueuedAsk entry, SlotUse use, long nowMs) {
    forgotten(entry);
    if (entry.isAdopted() || !RAN.contains(use.result())) {
      return;
    }
    double ms = Math.max(1, nowMs - entry.heldSinceMs());
    average(holdMs, entry).add(ms);
    anyHoldMs.add(ms);
    if (use.firstTokenMs() > 0) {
      average(firstTokenMs, entry).add(use.firstTokenMs());
    }
  }

  /** Returns the slots that come free in a millisecond, empty while nothing was measured. */
  OptionalDouble slotsPerMs() {
    if (!anyHoldMs.isKnown()) {
      return OptionalDouble.empty();
    }
    double sum = 0;
    for (Map.Entry<String, Integer> held : heldByClass.entrySet()) {
      Average average = holdMs.getOrDefault(held.getKey(), anyHoldMs);
      sum += held.getValue() / average.value();
    }
    return OptionalDouble.of(sum);
  }

  /** Returns the grants in a millisecond that went to tiers above the given one. */
  double grantsAbove(int tier, long nowMs) {
    return grants.above(tier, nowMs) / (double) GRANT_WINDOW_MS;
  }

  /** Returns the mean time from a grant to the first token of a class, zero if not measured. */
  double firstTokenMs(QueuedAsk entry) {
    return firstTokenMs.getOrDefault(className(entry), Average.NONE).value();
  }

  private static String className(QueuedAsk entry) {
    return entry.ask().serviceClass().name();
  }

  private static Average average(Map<String, Average> averages, QueuedAsk entry) {
    return averages.computeIfAbsent(className(entry), name -> new Average());
  }

  private static final class Average {

    private static final Average NONE = new Average();

    private double value;
    private boolean known;

    void add(double sample) {
      value = known ? value + LEARNING_RATE * (sample - value) : sample;
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
