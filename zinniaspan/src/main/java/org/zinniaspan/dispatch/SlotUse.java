package org.zinniaspan.dispatch;

/**
 * Measurements of the gateway that used a slot.
 *
 * @param result how the use ended
 * @param outputTokens number of tokens received
 * @param firstTokenMs milliseconds from sending to the first token, zero if none came
 * @param durationMs milliseconds from sending to the end, zero if unknown
 */
public record SlotUse(SlotResult result, int outputTokens, long firstTokenMs, long durationMs) {

  /** Creates a use whose duration is unknown. */
  public SlotUse(SlotResult result, int outputTokens, long firstTokenMs) {
    this(result, outputTokens, firstTokenMs, 0);
  }

  /** Returns a use that produced no token. */
  public static SlotUse of(SlotResult result) {
    return new SlotUse(result, 0, 0);
  }

  /** Returns the mean milliseconds between two tokens, zero if unknown. */
  public double msPerToken() {
    return outputTokens < 2 || durationMs <= firstTokenMs
        ? 0
        : (double) (durationMs - firstTokenMs) / (outputTokens - 1);
  }
}
