package org.zinniaspan.standins.benchmark;

import org.zinniaspan.dispatch.SlotDecisionListener;
import org.zinniaspan.request.NotRunReason;

/** Discards slot decisions, so that the benchmark does not measure their logging. */
final class NoOpSlotDecisionListener implements SlotDecisionListener {

  @Override
  public void granted(DecidedRequest decided, String endpoint) {}

  @Override
  public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {}

  @Override
  public void preempted(DecidedRequest decided) {}
}
