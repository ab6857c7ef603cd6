package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** What a queue decided on one ask. */
sealed interface SlotDecision {

  /** Returns the ask concerned. */
  QueueEntry entry();

  /** A slot is lent. */
  record Grant(QueueEntry entry) implements SlotDecision {}

  /**
   * No slot is lent.
   *
   * @param retryAfterMs milliseconds after which asking again may succeed, zero if never
   */
  record Refuse(QueueEntry entry, NotRunReason reason, long retryAfterMs) implements SlotDecision {}

  /** Work that holds a slot should stop. */
  record Preempt(QueueEntry entry) implements SlotDecision {}
}
