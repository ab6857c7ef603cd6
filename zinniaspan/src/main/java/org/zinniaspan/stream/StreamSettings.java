package org.zinniaspan.stream;

/**
 * Timeouts and retry limits of streams.
 *
 * @param maxRetries maximum number of retries of a request that use the retry budget
 * @param stallMs minimum time without a token that counts as a stall, in milliseconds
 * @param stallGaps time without a token that counts as a stall, as a multiple of the median gap
 *     between tokens; the longer of both limits applies
 * @param lateGraceMs milliseconds after the due time of the first token during which retries are
 *     made
 * @param resumeSlotWaitMs milliseconds that a broken stream waits for another slot, at least
 */
public record StreamSettings(
    int maxRetries, long stallMs, int stallGaps, long lateGraceMs, long resumeSlotWaitMs) {

  /**
   * Defaults: 3 retries, stall after the longer of 2 s and 8 gaps, 2 s of grace, 5 s of wait for a
   * slot.
   */
  public static final StreamSettings DEFAULTS = new StreamSettings(3, 2_000, 8, 2_000, 5_000);

  /** Returns a copy with the given maximum number of retries. */
  public StreamSettings withMaxRetries(int retries) {
    return new StreamSettings(retries, stallMs, stallGaps, lateGraceMs, resumeSlotWaitMs);
  }

  /** Returns a copy with the given minimum time of a stall, in milliseconds. */
  public StreamSettings withStallMs(long ms) {
    return new StreamSettings(maxRetries, ms, stallGaps, lateGraceMs, resumeSlotWaitMs);
  }
}
