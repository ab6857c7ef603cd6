package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** Is told of each decision of a queue; must not block. */
public interface SlotListener {

  /**
   * An ask that was decided on.
   *
   * @param ask the ask
   * @param vm the VM whose gateway asked
   * @param waiting asks that wait in the pool's queue now
   * @param waitedMs milliseconds from the ask's arrival to the decision
   */
  record Decided(SlotAsk ask, String vm, int waiting, long waitedMs) {}

  /** The ask waits. */
  default void queued(Decided decided) {}

  /** A slot was lent. */
  void granted(Decided decided, String endpoint);

  /** No slot was lent. */
  void refused(Decided decided, NotRunReason reason, long retryAfterMs);

  /** Work was asked to stop in favour of a higher tier. */
  void preempted(Decided decided);
}
