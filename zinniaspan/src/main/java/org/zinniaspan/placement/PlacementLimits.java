package org.zinniaspan.placement;

/**
 * Time and rate limits of a placer.
 *
 * @param handoverMs time in milliseconds for which a VM must have owned the role, without a pause,
 *     before it sends orders
 * @param dampingMs minimum time in milliseconds between two changes of one engine by a placer
 * @param orderValidMs time in milliseconds within which an order must be sent
 * @param reportMaxAgeMs maximum age in milliseconds of a load report used for planning
 * @param weightStoreMb maximum megabytes loaded from the weight store in each window
 * @param weightStoreWindowMs length of the window in milliseconds
 */
public record PlacementLimits(
    long handoverMs,
    long dampingMs,
    long orderValidMs,
    long reportMaxAgeMs,
    int weightStoreMb,
    long weightStoreWindowMs) {

  /** The defaults: 10 s, 60 s, 1 s and 5 s; 32,000 MB in each 60 s. */
  public static final PlacementLimits DEFAULT =
      new PlacementLimits(10_000, 60_000, 1_000, 5_000, 32_000, 60_000);
}
