package org.zinniaspan.proxy;

import org.zinniaspan.forwarding.VmLimits;
import org.zinniaspan.transport.BufferBudget;

/**
 * Limits on the messages in memory.
 *
 * @param requests limits the bodies of requests, from their first byte to the end of the response
 * @param responses limits the responses of endpoints until they are passed on: their bodies and
 *     unfinished heads
 */
record BodyBudgets(BufferBudget requests, BufferBudget responses) {

  /** Creates the budgets of a VM. */
  static BodyBudgets of(VmLimits limits) {
    return new BodyBudgets(
        new BufferBudget(limits.maxBodyBytes()), new BufferBudget(limits.maxResponseBytes()));
  }
}
