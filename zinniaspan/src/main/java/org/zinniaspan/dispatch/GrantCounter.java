package org.zinniaspan.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/** Counts the grants of each tier in a sliding time window. */
final class GrantCounter {

  private static final int SLICE_COUNT = 16;

  private record Slice(long index, TreeMap<Integer, Integer> byTier) {}

  private final long sliceMs;
  private final Deque<Slice> slices = new ArrayDeque<>();

  GrantCounter(long windowMs) {
    this.sliceMs = windowMs / SLICE_COUNT;
  }

  void add(int tier, long nowMs) {
    long index = nowMs / sliceMs;
    if (slices.isEmpty() || slices.getLast().index() != index) {
      slices.addLast(new Slice(index, new TreeMap<>()));
    }
    slices.getLast().byTier().merge(tier, 1, Integer::sum);
  }

  /** Returns the number of grants in the window to tiers above the given one. */
  int countAbove(int tier, long nowMs) {
    long oldest = nowMs / sliceMs - SLICE_COUNT + 1;
    while (!slices.isEmpty() && slices.getFirst().index() < oldest) {
      slices.removeFirst();
    }
    int sum = 0;
    for (Slice slice : slices) {
      sum += slice.byTier().headMap(tier).values().stream().mapToInt(Integer::intValue).sum();
    }
    return sum;
  }
}
