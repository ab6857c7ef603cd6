package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** Is told of each decision of a queue; must not block. */
public interface SlotDecisionListener {

  /**
   * An ask that was decided on.
   *
   * @param request the ask
   * @param vm the VM whose gateway asked
   * @param waiting asks that wait in the pool's queue now
   * @param waitedMs milliseconds from the ask's arrival to the decision
   */
  record DecidedRequest(LeaseRequest request, String vm, int waiting, long waitedMs) {}

  /** The ask waits. */
  default void queued(DecidedRequest decided) {}

  /** A slot was lent. */
  void granted(DecidedRequest decided, String endpoint);

  /** No slot was lent. */
  void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs);

  /** Work was asked to stop in favour of a higher tier. */
  void preempted(DecidedRequest decided);
}
