package org.zinniaspan.fleet;

import java.util.HashMap;
import java.util.Map;
import org.zinniaspan.clock.Clock;

/** VMs that are passed over for a while, as they did not reply or were of no use. */
final class SuspectVms {

  private final Clock clock;
  private final Map<String, Long> untilMs = new HashMap<>();

  SuspectVms(Clock clock) {
    this.clock = clock;
  }

  /** Passes a VM over for a time in milliseconds. */
  void add(String address, long forMs) {
    long now = clock.nowMs();
    untilMs.values().removeIf(ms -> ms <= now);
    untilMs.put(address, now + forMs);
  }

  /** Passes a VM over no longer. */
  void remove(String address) {
    untilMs.remove(address);
  }

  /** Returns whether a VM is passed over now. */
  boolean contains(String address) {
    return untilMs.getOrDefault(address, Long.MIN_VALUE) > clock.nowMs();
  }
}
