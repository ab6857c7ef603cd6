package org.zinniaspan.routing;

/**
 * Leaving status that an endpoint states by a refusal or in a load report.
 *
 * <p>A refusal takes effect at once and lasts until a report made after it denies the status.
 * Without a newer refusal or report the status expires after {@link #EXPIRY_MS}. Not thread-safe;
 * the owner guards it with a lock.
 */
final class LeavingStatus {

  /** Time after which a leaving status expires unless it is renewed, in milliseconds. */
  static final long EXPIRY_MS = 60_000;

  private boolean leaving;
  private long updatedMs = Long.MIN_VALUE;

  /** Records a refusal because the endpoint is leaving; returns whether the status changes. */
  boolean onRefusal(long nowMs) {
    return update(true, nowMs);
  }

  /** Records the status in a load report made at asOfMs; returns whether the status changes. */
  boolean onReport(boolean reportedLeaving, long asOfMs, long nowMs) {
    if (reportedLeaving) {
      return update(true, nowMs);
    }
    return leaving && asOfMs > updatedMs && update(false, asOfMs);
  }

  private boolean update(boolean value, long atMs) {
    boolean changed = leaving != value;
    leaving = value;
    updatedMs = atMs;
    return changed;
  }

  boolean isLeaving(long nowMs) {
    return leaving && nowMs - updatedMs < EXPIRY_MS;
  }
}
