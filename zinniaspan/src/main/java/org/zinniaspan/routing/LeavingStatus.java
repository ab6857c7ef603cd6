package org.zinniaspan.routing;

/**
 * What an endpoint itself says of its leaving, by refusal or report.
 *
 * <p>A refusal counts at once and until a report made after it says otherwise; without a newer
 * report either word lapses after {@link #EXPIRY_MS}. Not thread-safe; its owner guards it.
 */
final class LeavingStatus {

  /** Time after which a word that is not renewed lapses, in milliseconds. */
  static final long EXPIRY_MS = 60_000;

  private boolean leaving;
  private long updatedMs = Long.MIN_VALUE;

  /** Records that the endpoint refused because it leaves; returns whether that is news. */
  boolean onRefusal(long nowMs) {
    return update(true, nowMs);
  }

  /** Records what a report says; returns whether it changes the mark. */
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
