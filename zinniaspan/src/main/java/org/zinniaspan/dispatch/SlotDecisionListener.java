package org.zinniaspan.dispatch;

import org.zinniaspan.request.NotRunReason;

/** Receives each decision of a queue; implementations must not block. */
public interface SlotDecisionListener {

  /**
   * The request that a decision concerns.
   *
   * @param request the request
   * @param vm the VM whose gateway made the request
   * @param waiting number of requests that wait in the pool's queue now
   * @param waitedMs milliseconds from the request's arrival to the decision
   */
  record DecidedRequest(LeaseRequest request, String vm, int waiting, long waitedMs) {}

  /** The request was queued. */
  default void queued(DecidedRequest decided) {}

  /** The request got a slot. */
  void granted(DecidedRequest decided, String endpoint);

  /** The request was refused. */
  void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs);

  /** The work was told to stop in favour of a higher tier. */
  void preempted(DecidedRequest decided);
}
