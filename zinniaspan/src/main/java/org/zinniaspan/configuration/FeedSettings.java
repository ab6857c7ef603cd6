package org.zinniaspan.configuration;

/**
 * Settings of the configuration feed; all times are in milliseconds.
 *
 * <p>{@link #withSeed} gives the defaults.
 *
 * @param watchMs maximum wait of one watch call; 2000 by default
 * @param fallbackAfterMs age of the zone's last contact with the platform after which any VM reads
 *     the platform itself; 4000 by default
 * @param fallbackJitterMs upper bound of the random time added to {@code fallbackAfterMs}; 1500 by
 *     default
 * @param remotePeriodMs mean time between two digest exchanges of a zone with VMs of other zones;
 *     1000 by default
 * @param remoteGraceMs time for a revision announced by another zone to arrive within this zone,
 *     before it is fetched from there; 1500 by default
 * @param initialWaitMs time for which a new VM waits for the revisions of its peers before it
 *     adopts a document of the platform; 500 by default
 * @param seed seed of random delays and choices
 */
public record FeedSettings(
    long watchMs,
    long fallbackAfterMs,
    long fallbackJitterMs,
    long remotePeriodMs,
    long remoteGraceMs,
    long initialWaitMs,
    long seed) {

  /** Returns the default settings with the given seed. */
  public static FeedSettings withSeed(long seed) {
    return new FeedSettings(2_000, 4_000, 1_500, 1_000, 1_500, 500, seed);
  }
}
