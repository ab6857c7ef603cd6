package org.zinniaspan.forwarding;

import java.util.Arrays;

/**
 * The median pause between the events of one stream. The median, as a prompt that the engine
 * prefills meanwhile stretches a few pauses.
 */
public final class PauseMedian {

  /** Number of pauses that are kept; later ones are left out. */
  private static final int MAX_PAUSES = 48;

  private short[] pausesMs = new short[8];
  private int count;
  private long lastMs = -1;

  /** Creates a median without pauses. */
  public PauseMedian() {}

  /** Records that events arrived. */
  public void onEvents(long nowMs) {
    if (lastMs >= 0 && count < MAX_PAUSES) {
      if (count == pausesMs.length) {
        pausesMs = Arrays.copyOf(pausesMs, 2 * count);
      }
      pausesMs[count++] = (short) Math.min(Short.MAX_VALUE, nowMs - lastMs);
    }
    lastMs = nowMs;
  }

  /** Returns the number of pauses that are kept. */
  public int count() {
    return count;
  }

  /** Returns the median in milliseconds; 0 without a pause. */
  public double medianMs() {
    if (count == 0) {
      return 0;
    }
    short[] sorted = Arrays.copyOf(pausesMs, count);
    Arrays.sort(sorted);
    return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2.0;
  }
}
