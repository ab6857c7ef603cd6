package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** What a queue decided on one ask. */
sealed interface SlotDecision {

  /** Returns the ask concerned. */
  QueuedAsk entry();

  /** A slot is lent. */
  record Grant(QueuedAsk entry) implements SlotDecision {}

  /**
   * No slot is lent.
   *
   * @param retryAfterMs milliseconds after which asking again may succeed, zero if never
   */
  record Refuse(QueuedAsk entry, NotRunReason reason, long retryAfterMs) implements SlotDecision {}

  /** Work that holds a slot should stop. */
  record Preempt(QueuedAsk entry) implements SlotDecision {}
}
