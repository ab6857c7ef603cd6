package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** A queue's decision on one request. */
sealed interface SlotDecision {

  /** Returns the entry that the decision concerns. */
  QueueEntry entry();

  /** The request gets a slot. */
  record Grant(QueueEntry entry) implements SlotDecision {}

  /**
   * The request is refused.
   *
   * @param retryAfterMs milliseconds after which a retry may succeed, zero if never
   */
  record Refuse(QueueEntry entry, NotRunReason reason, long retryAfterMs) implements SlotDecision {}

  /** The work that holds the slot should stop. */
  record Preempt(QueueEntry entry) implements SlotDecision {}
}
