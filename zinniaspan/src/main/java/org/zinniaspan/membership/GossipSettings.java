package org.zinniaspan.membership;

/**
 * Settings of the gossip failure detector.
 *
 * @param periodMs milliseconds between two heartbeats
 * @param deadAfterMs milliseconds without a risen counter after which a VM is not live
 * @param fanOut members that get each heartbeat
 * @param seed seed of the choice of members
 */
public record GossipSettings(long periodMs, long deadAfterMs, int fanOut, long seed) {

  /** Milliseconds between two heartbeats. */
  public static final long DEFAULT_PERIOD_MS = 500;

  /** Milliseconds without a risen counter after which a VM is not live. */
  public static final long DEFAULT_DEAD_AFTER_MS = 2_500;

  /** Members that get each heartbeat. */
  public static final int DEFAULT_FAN_OUT = 3;

  /** Returns the defaults with the given seed. */
  public static GossipSettings withSeed(long seed) {
    return new GossipSettings(DEFAULT_PERIOD_MS, DEFAULT_DEAD_AFTER_MS, DEFAULT_FAN_OUT, seed);
  }
}
