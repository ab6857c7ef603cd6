package org.zinniaspan.placement;

/**
 * How fast a placer may act.
 *
 * @param handoverMs time for which a VM must have been placer, awake, before it orders
 * @param dampingMs shortest time between two changes of one engine
 * @param orderValidMs time for which an order may wait to be sent
 * @param reportMaxAgeMs oldest report on which an order may rest
 * @param weightStoreMb megabytes that may be loaded in each window
 * @param weightStoreWindowMs length of that window
 */
public record PlacementLimits(
    long handoverMs,
    long dampingMs,
    long orderValidMs,
    long reportMaxAgeMs,
    int weightStoreMb,
    long weightStoreWindowMs) {

  /** Limits that suit today's fleets. */
  public static final PlacementLimits DEFAULT =
      new PlacementLimits(10_000, 60_000, 1_000, 5_000, 32_000, 60_000);
}
