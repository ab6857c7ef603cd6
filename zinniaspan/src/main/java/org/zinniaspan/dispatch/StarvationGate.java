package org.zinniaspan.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;

/**
 * Closes higher tiers to new requests for a short time so that a starved tier gets a slot.
 *
 * <p>Requests that already wait keep their positions and are served first; the starved tier gets
 * the next slot after them. Therefore no lower tier gets a slot between the arrival of a request
 * and its refusal. The gate closes the highest backlogged tier, whose queue has not been empty for
 * {@link QueueLimits#backloggedAfterMs}, and all tiers between it and the starved one, until the
 * starved tier gets a slot.
 */
final class StarvationGate {

  private static final int NO_TIER = Integer.MAX_VALUE;

  private final QueueLimits limits;
  private final Map<Integer, Long> starvedSinceMs = new HashMap<>();
  private final Map<Integer, Long> waitingSinceMs = new HashMap<>();
  private int closedFrom = NO_TIER;
  private int grantsSinceStarved;

  StarvationGate(QueueLimits limits) {
    this.limits = limits;
    this.grantsSinceStarved = limits.grantsBetweenStarved();
  }

  /** Records the arrival of a request for a tier in which none waited. */
  void recordArrival(int tier, long nowMs) {
    waitingSinceMs.put(tier, nowMs);
    starvedSinceMs.putIfAbsent(tier, nowMs);
  }

  /** Records a grant and returns whether it went to a starved tier. */
  boolean recordGrant(int tier, long nowMs) {
    boolean starved = isStarved(tier, nowMs);
    starvedSinceMs.put(tier, nowMs);
    if (starved) {
      closedFrom = NO_TIER;
    }
    grantsSinceStarved = starved ? 0 : grantsSinceStarved + 1;
    return starved;
  }

  /**
   * Returns whether a tier is overdue for a grant and enough grants were made since the last one to
   * a starved tier.
   */
  private boolean isStarved(int tier, long nowMs) {
    return overdueMs(tier, nowMs) >= 0 && grantsSinceStarved >= limits.grantsBetweenStarved();
  }

  /** Returns the starved tier to serve next: the one that has waited longest. */
  Optional<Integer> nextStarvedTier(SortedMap<Integer, TierQueue> tiers, long nowMs) {
    return tiers.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .filter(tier -> isStarved(tier, nowMs))
        .min(Comparator.comparingLong(starvedSinceMs::get));
  }

  /**
   * Returns whether a tier accepts no new requests, because it or a tier above it crowds out a
   * starved lower one.
   */
  boolean isClosed(int tier, SortedMap<Integer, TierQueue> tiers, long nowMs) {
    Optional<Integer> starved = nextStarvedTier(tiers, nowMs);
    if (starved.isEmpty()) {
      closedFrom = NO_TIER;
      return false;
    }
    if (tier >= starved.get()) {
      return false;
    }
    for (Map.Entry<Integer, TierQueue> higher : tiers.headMap(starved.get()).entrySet()) {
      if (!higher.getValue().isEmpty() && isBacklogged(higher.getKey(), nowMs)) {
        closedFrom = Math.min(closedFrom, higher.getKey());
      }
    }
    return tier >= closedFrom;
  }

  private boolean isBacklogged(int tier, long nowMs) {
    return nowMs - waitingSinceMs.getOrDefault(tier, nowMs) >= limits.backloggedAfterMs();
  }

  private long overdueMs(int tier, long nowMs) {
    Long since = starvedSinceMs.get(tier);
    return since == null ? -1 : nowMs - since - limits.starvedAfterMs();
  }
}
