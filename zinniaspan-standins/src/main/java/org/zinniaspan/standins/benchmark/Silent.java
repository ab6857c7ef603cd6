package org.zinniaspan.standins.benchmark;

import org.zinniaspan.dispatch.SlotListener;
import org.zinniaspan.request.NotRunReason;

/** Leaves out the log lines of decisions. */
final class Silent implements SlotListener {

  @Override
  public void granted(Decided decided, String endpoint) {}

  @Override
  public void refused(Decided decided, NotRunReason reason, long retryAfterMs) {}

  @Override
  public void preempted(Decided decided) {}
}
