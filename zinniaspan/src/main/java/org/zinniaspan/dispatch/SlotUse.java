package org.zinniaspan.dispatch;

/**
 * What the gateway saw while it used a slot.
 *
 * @param result how it ended
 * @param outputTokens tokens received
 * @param firstTokenMs milliseconds from sending to the first token, zero if none came
 */
public record SlotUse(SlotResult result, int outputTokens, long firstTokenMs) {

  /** Returns a use that brought no token. */
  public static SlotUse of(SlotResult result) {
    return new SlotUse(result, 0, 0);
  }
}
