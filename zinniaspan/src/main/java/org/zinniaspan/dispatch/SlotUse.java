package org.zinniaspan.dispatch;

/**
 * What the gateway saw while it used a slot.
 *
 * @param result how it ended
 * @param outputTokens tokens received
 * @param firstTokenMs milliseconds from sending to the first token, zero if none came
 * @param durationMs milliseconds from sending to the end, zero if not known
 */
public record SlotUse(SlotResult result, int outputTokens, long firstTokenMs, long durationMs) {

  /** Creates a use whose duration is not known. */
  public SlotUse(SlotResult result, int outputTokens, long firstTokenMs) {
    this(result, outputTokens, firstTokenMs, 0);
  }

  /** Returns a use that brought no token. */
  public static SlotUse of(SlotResult result) {
    return new SlotUse(result, 0, 0);
  }

  /** Returns the mean milliseconds between two tokens, zero if not known. */
  public double msPerToken() {
    return outputTokens < 2 || durationMs <= firstTokenMs
        ? 0
        : (double) (durationMs - firstTokenMs) / (outputTokens - 1);
  }
}
