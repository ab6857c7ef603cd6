package org.zinniaspan.forwarding;

import org.zinniaspan.clock.Clock;

/**
 * Tells whether the routing table in force was confirmed recently enough to accept API keys.
 *
 * <p>The age counts from the sending of the read that confirmed the table. It is the larger one of
 * the ages by the steady clock and by the time of day, as the steady clock may stand still while
 * the VM is suspended. If the two clocks drift apart, the table has to be confirmed again.
 */
public final class TableFreshness {

  /** Largest difference of the two clocks' readings that is not a step or a suspension, in ms. */
  private static final long MAX_DRIFT_MS = 150;

  private final Clock steady;
  private final Clock timeOfDay;
  private final long maxAgeMs;
  private boolean confirmed;
  private long confirmedMs;
  private long confirmedDriftMs;

  /**
   * Creates a state without a confirmation.
   *
   * @param steady clock that never goes back
   * @param timeOfDay clock that goes on while the VM is suspended
   * @param maxAgeMs longest age of a confirmation, in milliseconds
   */
  public TableFreshness(Clock steady, Clock timeOfDay, long maxAgeMs) {
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.maxAgeMs = maxAgeMs;
  }

  /**
   * The moment at which a confirming read was sent.
   *
   * @param steadyMs reading of the steady clock
   * @param driftMs how far the time of day was ahead of it
   */
  public record ReadStart(long steadyMs, long driftMs) {}

  /** Returns the moment of a read that is sent now. */
  public ReadStart readStart() {
    long nowMs = steady.nowMs();
    return new ReadStart(nowMs, timeOfDay.nowMs() - nowMs);
  }

  /** Records that a read that was sent at a moment has confirmed the table. */
  public void confirm(ReadStart sent) {
    if (!confirmed || sent.steadyMs() >= confirmedMs) {
      confirmed = true;
      confirmedMs = sent.steadyMs();
      confirmedDriftMs = sent.driftMs();
    }
  }

  /** Returns the age of the confirmation in milliseconds; the longest value if there is none. */
  public long ageMs() {
    return confirmed ? steady.nowMs() - confirmedMs : Long.MAX_VALUE;
  }

  /** Returns whether API keys may be accepted now. */
  public boolean isFresh() {
    return confirmed && !clocksDisagree() && ageMs() <= maxAgeMs;
  }

  /** Returns whether a clock was stepped, or the VM suspended, since the confirmation. */
  public boolean clocksDisagree() {
    return confirmed && Math.abs(readStart().driftMs() - confirmedDriftMs) > MAX_DRIFT_MS;
  }
}
