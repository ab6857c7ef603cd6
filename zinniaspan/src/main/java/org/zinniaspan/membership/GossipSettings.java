package org.zinniaspan.membership;

/**
 * Settings of the gossip failure detector.
 *
 * @param periodMs milliseconds between two heartbeats
 * @param deadAfterMs failure timeout: milliseconds without an increase of the heartbeat counter
 *     after which a VM is no longer live
 * @param fanOut number of members to which each heartbeat is sent
 * @param seed seed of the random choice of members
 */
public record GossipSettings(long periodMs, long deadAfterMs, int fanOut, long seed) {

  /** Default interval between two heartbeats, in milliseconds. */
  public static final long DEFAULT_PERIOD_MS = 500;

  /** Default failure timeout, in milliseconds. */
  public static final long DEFAULT_DEAD_AFTER_MS = 2_500;

  /** Default number of members to which each heartbeat is sent. */
  public static final int DEFAULT_FAN_OUT = 3;

  /** Returns the default settings with the given seed. */
  public static GossipSettings withSeed(long seed) {
    return new GossipSettings(DEFAULT_PERIOD_MS, DEFAULT_DEAD_AFTER_MS, DEFAULT_FAN_OUT, seed);
  }
}
