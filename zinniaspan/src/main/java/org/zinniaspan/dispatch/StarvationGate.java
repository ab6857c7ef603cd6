package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;

/**
 * Closes higher tiers to new asks for a moment so that a starved tier gets a slot.
 *
 * <p>Asks that wait already keep their places and are served first; the starved tier gets the next
 * slot after them. So a grant of a lower tier never comes between the arrival of an ask and its
 * refusal. Only a tier whose queue has not been empty for a while is closed, until the starved one
 * is served.
 */
final class StarvationGate {

  private final QueueLimits limits;
  private final Map<Integer, Long> starvedSinceMs = new HashMap<>();
  private final Map<Integer, Long> waitingSinceMs = new HashMap<>();
  private final Set<Integer> closed = new HashSet<>();
  private int grantsSinceGate;

  StarvationGate(QueueLimits limits) {
    this.limits = limits;
    this.grantsSinceGate = limits.grantsBetweenGates();
  }

  /** Records that a tier of which nothing waited asks for a slot. */
  void asked(int tier, long nowMs) {
    waitingSinceMs.put(tier, nowMs);
    starvedSinceMs.putIfAbsent(tier, nowMs);
  }

  /** Records a grant, and returns whether it went to a tier that was starved. */
  boolean granted(int tier, long nowMs) {
    boolean starved = isStarved(tier, nowMs);
    starvedSinceMs.put(tier, nowMs);
    if (starved) {
      closed.clear();
    }
    grantsSinceGate = starved ? 0 : grantsSinceGate + 1;
    return starved;
  }

  /** Returns whether a tier has asked for long without a grant, and is due one. */
  boolean isStarved(int tier, long nowMs) {
    return overdueMs(tier, nowMs) >= 0 && grantsSinceGate >= limits.grantsBetweenGates();
  }

  /** Returns whether a tier takes no new asks, because it crowds out a lower one. */
  boolean isClosed(int tier, SortedMap<Integer, TierQueue> tiers, long nowMs) {
    boolean due =
        tiers.tailMap(tier + 1).entrySet().stream()
            .anyMatch(lower -> !lower.getValue().isEmpty() && isStarved(lower.getKey(), nowMs));
    if (!due) {
      closed.remove(tier);
    } else if (nowMs - waitingSinceMs.getOrDefault(tier, nowMs) >= limits.crowdedAfterMs()) {
      closed.add(tier);
    }
    return closed.contains(tier);
  }

  private long overdueMs(int tier, long nowMs) {
    Long since = starvedSinceMs.get(tier);
    return since == null ? -1 : nowMs - since - limits.starvedAfterMs();
  }
}
