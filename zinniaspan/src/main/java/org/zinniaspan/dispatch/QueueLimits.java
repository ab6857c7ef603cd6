package org.zinniaspan.dispatch;

/**
 * Limits of one pool's queue.
 *
 * @param maxWaiting largest number of waiting requests, over all tiers
 * @param starvedAfterMs milliseconds without a grant after which a tier with waiting requests
 *     counts as starved
 * @param backloggedAfterMs milliseconds of uninterrupted waiting after which a tier counts as
 *     backlogged, so that it crowds out lower ones
 * @param grantsBetweenStarved least number of grants between two that go to starved tiers
 */
public record QueueLimits(
    int maxWaiting, long starvedAfterMs, long backloggedAfterMs, int grantsBetweenStarved) {

  /** The defaults: 512 requests, 5 s, 2 s, 20 grants. */
  public static final QueueLimits DEFAULT = new QueueLimits(512, 5_000, 2_000, 20);
}
