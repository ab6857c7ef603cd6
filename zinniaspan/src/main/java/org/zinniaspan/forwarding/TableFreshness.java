package org.zinniaspan.forwarding;

import org.zinniaspan.clock.Clock;

/**
 * Freshness of the routing table: tells whether it was confirmed recently enough to accept API
 * keys.
 *
 * <p>The age counts from the start of the read that confirmed the table, by the monotonic clock.
 * Since that clock may stop while the VM is suspended, it is compared with the time of day: if the
 * two have drifted apart since the confirmation, the table has to be confirmed again.
 */
public final class TableFreshness {

  /**
   * Largest difference between the two clocks that is not taken for a clock step or a suspension,
   * in milliseconds.
   */
  private static final long MAX_DRIFT_MS = 150;

  private final Clock steady;
  private final Clock timeOfDay;
  private final long maxAgeMs;
  private boolean confirmed;
  private long confirmedMs;
  private long confirmedDriftMs;

  /**
   * Creates a tracker without a confirmation.
   *
   * @param steady monotonic clock
   * @param timeOfDay wall clock, which continues while the VM is suspended
   * @param maxAgeMs largest age of a valid confirmation, in milliseconds
   */
  public TableFreshness(Clock steady, Clock timeOfDay, long maxAgeMs) {
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.maxAgeMs = maxAgeMs;
  }

  /**
   * The time at which a confirming read was started.
   *
   * @param steadyMs reading of the monotonic clock, in milliseconds
   * @param driftMs lead of the time of day over the monotonic clock, in milliseconds
   */
  public record ReadStart(long steadyMs, long driftMs) {}

  /** Returns the start time of a read that is sent now. */
  public ReadStart readStart() {
    long nowMs = steady.nowMs();
    return new ReadStart(nowMs, timeOfDay.nowMs() - nowMs);
  }

  /**
   * Records that a read confirmed the table; a read that started before the last confirming one is
   * ignored.
   */
  public void confirm(ReadStart readStart) {
    if (!confirmed || readStart.steadyMs() >= confirmedMs) {
      confirmed = true;
      confirmedMs = readStart.steadyMs();
      confirmedDriftMs = readStart.driftMs();
    }
  }

  /**
   * Returns the age of the confirmation in milliseconds; {@code Long.MAX_VALUE} if there is none.
   */
  public long ageMs() {
    return confirmed ? steady.nowMs() - confirmedMs : Long.MAX_VALUE;
  }

  /** Returns whether the table is fresh, so that API keys may be accepted. */
  public boolean isFresh() {
    return confirmed && !clocksDisagree() && ageMs() <= maxAgeMs;
  }

  /** Returns whether a clock was stepped, or the VM suspended, since the confirmation. */
  public boolean clocksDisagree() {
    return confirmed && Math.abs(readStart().driftMs() - confirmedDriftMs) > MAX_DRIFT_MS;
  }
}
