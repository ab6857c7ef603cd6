package org.zinniaspan.dispatch;

/**
 * Limits of one pool's queue.
 *
 * @param maxWaiting most asks that wait, over all tiers
 * @param starvedAfterMs milliseconds without a grant after which a tier that asks counts as starved
 * @param gateWidenMs milliseconds after which one more tier is closed for a starved one
 * @param grantsBetweenGates least number of grants between two that go to starved tiers
 */
public record QueueLimits(
    int maxWaiting, long starvedAfterMs, long gateWidenMs, int grantsBetweenGates) {

  /** The defaults: 512 asks, 5 s, 1 s, 20 grants. */
  public static final QueueLimits DEFAULT = new QueueLimits(512, 5_000, 1_000, 20);
}
