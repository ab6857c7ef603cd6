package org.zinniaspan.stream;

import java.util.Arrays;

/**
 * Detects a stalled stream: no token for much longer than the median gap between its tokens.
 *
 * <p>Until the first token, the limit is half of the time until that token is due, but no less than
 * {@link StreamSettings#stallMs}. Used by one thread.
 */
final class StallDetector {

  private static final int GAP_WINDOW = 15;

  private final StreamSettings settings;
  private final long[] gapsMs = new long[GAP_WINDOW];
  private final long sentMs;
  private final long firstTokenLimitMs;
  private long lastTokenMs;
  private int gaps;
  private boolean hasFirstToken;

  /**
   * Creates a detector.
   *
   * @param settings limits of a stall
   * @param sentMs time at which the request was sent, in milliseconds
   * @param untilDueMs milliseconds from then until the first token is due, negative if overdue
   */
  StallDetector(StreamSettings settings, long sentMs, long untilDueMs) {
    this.settings = settings;
    this.sentMs = sentMs;
    this.firstTokenLimitMs = Math.max(settings.stallMs(), untilDueMs / 2);
  }

  void onToken(long nowMs) {
    if (hasFirstToken) {
      gapsMs[gaps % GAP_WINDOW] = nowMs - lastTokenMs;
      gaps++;
    }
    hasFirstToken = true;
    lastTokenMs = nowMs;
  }

  /** Returns the time from which the stream counts as stalled, in milliseconds. */
  long stalledAtMs() {
    if (!hasFirstToken) {
      return sentMs + firstTokenLimitMs;
    }
    return lastTokenMs + Math.max(settings.stallMs(), settings.stallGaps() * medianGapMs());
  }

  private long medianGapMs() {
    int count = Math.min(gaps, GAP_WINDOW);
    if (count == 0) {
      return 0;
    }
    long[] sorted = Arrays.copyOf(gapsMs, count);
    Arrays.sort(sorted);
    return sorted[count / 2];
  }
}
