package org.zinniaspan.configuration;

/**
 * Settings of the configuration feed; all times are in milliseconds.
 *
 * @param watchMs longest wait of one watch call
 * @param fallbackAfterMs age of the zone's last contact with the platform after which any VM reads
 * @param fallbackJitterMs longest random time added to that
 * @param remotePeriodMs mean time between two exchanges of a zone with VMs of other zones
 * @param remoteGraceMs time left to the own zone to bring a revision heard of in another one
 * @param initialWaitMs time for which a fresh VM asks peers before it adopts what the platform says
 * @param seed seed of random times and choices
 */
public record FeedSettings(
    long watchMs,
    long fallbackAfterMs,
    long fallbackJitterMs,
    long remotePeriodMs,
    long remoteGraceMs,
    long initialWaitMs,
    long seed) {

  /** Returns the defaults with the given seed. */
  public static FeedSettings withSeed(long seed) {
    return new FeedSettings(2_000, 4_000, 1_500, 1_000, 1_500, 500, seed);
  }
}
