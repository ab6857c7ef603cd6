package org.zinniaspan.standins.benchmark;

import org.zinniaspan.dispatch.SlotDecisionListener;
import org.zinniaspan.request.NotRunReason;

/** Leaves out the log lines of decisions. */
final class NoOpSlotDecisionListener implements SlotDecisionListener {

  @Override
  public void granted(DecidedRequest decided, String endpoint) {}

  @Override
  public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {}

  @Override
  public void preempted(DecidedRequest decided) {}
}
