package org.zinniaspan.routing;

/**
 * What an endpoint itself says of its leaving, by refusal or report.
 *
 * <p>A refusal counts at once and until a report made after it says otherwise; without a newer
 * report either word lapses after {@link #LAPSE_MS}. Not thread-safe; its owner guards it.
 */
final class LeavingMark {

  /** Time after which a word that is not renewed lapses, in milliseconds. */
  static final long LAPSE_MS = 60_000;

  private boolean leaving;
  private long saidMs = Long.MIN_VALUE;

  /** Records that the endpoint refused because it leaves; returns whether that is news. */
  boolean onRefusal(long nowMs) {
    return say(true, nowMs);
  }

  /** Records what a report says; returns whether it changes the mark. */
  boolean onReport(boolean says, long asOfMs, long nowMs) {
    if (says) {
      return say(true, nowMs);
    }
    return leaving && asOfMs > saidMs && say(false, asOfMs);
  }

  private boolean say(boolean value, long atMs) {
    boolean changed = leaving != value;
    leaving = value;
    saidMs = atMs;
    return changed;
  }

  boolean isLeaving(long nowMs) {
    return leaving && nowMs - saidMs < LAPSE_MS;
  }
}
