package org.zinniaspan.stream;

/**
 * Limits of streams.
 *
 * @param maxRetries most attempts of a request that follow a failed one
 * @param stallMs shortest time without a token that counts as a stall, in milliseconds
 * @param stallGaps number of median gaps between tokens without a token that counts as a stall
 * @param lateGraceMs milliseconds after the first token was due until which a retry is made
 * @param resumeSlotWaitMs milliseconds that a broken stream waits for another slot
 */
public record StreamSettings(
    int maxRetries, long stallMs, int stallGaps, long lateGraceMs, long resumeSlotWaitMs) {

  /** The defaults: 3 retries, stall after 2 s or 8 gaps, 2 s of grace, 5 s of patience. */
  public static final StreamSettings DEFAULTS = new StreamSettings(3, 2_000, 8, 2_000, 5_000);

  /** Returns a copy with another number of retries. */
  public StreamSettings withMaxRetries(int retries) {
    return new StreamSettings(retries, stallMs, stallGaps, lateGraceMs, resumeSlotWaitMs);
  }

  /** Returns a copy with another shortest stall. */
  public StreamSettings withStallMs(long ms) {
    return new StreamSettings(maxRetries, ms, stallGaps, lateGraceMs, resumeSlotWaitMs);
  }
}
