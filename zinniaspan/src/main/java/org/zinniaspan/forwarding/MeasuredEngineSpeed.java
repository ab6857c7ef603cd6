package org.zinniaspan.forwarding;

/**
 * Estimates the speed of a service's endpoints from the requests of this VM.
 *
 * <p>The estimates start from priors and follow the observations; bounds keep them plausible when
 * few or odd observations arrive. Not thread-safe.
 */
public final class MeasuredEngineSpeed implements EngineSpeed {

  /** Prefill time assumed before the first prompt, in milliseconds per token. */
  private static final double PRIOR_PREFILL_MS = 1.0 / 60;

  /** Fastest prefill that is believed, in milliseconds per token. */
  private static final double MIN_PREFILL_MS = 1.0 / 1_000;

  /** Slowest prefill that is believed, in milliseconds per token. */
  private static final double MAX_PREFILL_MS = 1.0 / 4;

  /** Prompt length of the larger prior sample, in tokens. */
  private static final double PRIOR_PROMPT_TOKENS = 4_000;

  /** Time to the first event assumed before the first prompt, in milliseconds. */
  private static final double PRIOR_FIRST_EVENT_MS = 40;

  /** Time of a plain call assumed before the first one, in milliseconds. */
  private static final double PRIOR_PLAIN_CALL_MS = 40;

  /** Slot time of a stream assumed before the first one, in milliseconds. */
  private static final double PRIOR_STREAM_SLOT_MS = 1_500;

  /** Engine time of an output token assumed before the first stream, in milliseconds. */
  private static final double PRIOR_OUTPUT_TOKEN_MS = 0.2;

  /** Largest observed time in relation to the expected one; longer ones are cut to it. */
  private static final double MAX_SURPRISE = 4;

  /** Weight of a new observation in the moving averages. */
  private static final double MEAN_WEIGHT = 0.05;

  /** Longest time of a call or stream that is believed, in milliseconds. */
  private static final double MAX_CALL_MS = 60_000;

  private final DecayingRegression firstEvent =
      new DecayingRegression(
          PRIOR_FIRST_EVENT_MS,
          PRIOR_PREFILL_MS,
          PRIOR_PROMPT_TOKENS,
          MIN_PREFILL_MS,
          MAX_PREFILL_MS);
  private double plainCallMs = PRIOR_PLAIN_CALL_MS;
  private double streamSlotMs = PRIOR_STREAM_SLOT_MS;
  private double outputTokenMs = PRIOR_OUTPUT_TOKEN_MS;
  private double slotMs = PRIOR_STREAM_SLOT_MS;
  private int slotSamples;

  /**
   * Records the time to the first event of a prompt at an engine on which no other prompt waited.
   *
   * @param tokens prompt tokens that were not cached there
   */
  public void onFirstEvent(long tokens, double elapsedMs) {
    firstEvent.add(tokens, plausible(elapsedMs, firstEventMs() + prefillMs(tokens)));
  }

  /** Records the time of a plain request. */
  public void onPlainCall(double elapsedMs) {
    plainCallMs = mean(plainCallMs, plausible(elapsedMs, plainCallMs));
    onSlotFreed(elapsedMs);
  }

  /** Records the time of any request; the first ones weigh more than the assumed time. */
  private void onSlotFreed(double elapsedMs) {
    slotSamples++;
    double weight = Math.max(MEAN_WEIGHT, 1.0 / slotSamples);
    slotMs += weight * (Math.min(MAX_CALL_MS, elapsedMs) - slotMs);
  }

  /**
   * Records a complete stream.
   *
   * @param slotMs time from the send to the last event
   * @param outputMs time from the first to the last event
   * @param outputTokens tokens that the stream was allowed to have
   * @param slots streams that the engine runs concurrently
   */
  public void onStream(double slotMs, double outputMs, long outputTokens, int slots) {
    streamSlotMs = mean(streamSlotMs, plausible(slotMs, streamSlotMs));
    onSlotFreed(slotMs);
    if (outputTokens > 0) {
      double tokenMs = outputMs / outputTokens / Math.max(1, slots);
      outputTokenMs = mean(outputTokenMs, plausible(tokenMs, outputTokenMs));
    }
  }

  private static double plausible(double observedMs, double expectedMs) {
    return Math.max(0, Math.min(MAX_CALL_MS, Math.min(observedMs, MAX_SURPRISE * expectedMs)));
  }

  private static double mean(double previous, double observed) {
    return previous + MEAN_WEIGHT * (observed - previous);
  }

  @Override
  public double prefillMs(double tokens) {
    return firstEvent.slope() * tokens;
  }

  @Override
  public double firstEventMs() {
    return firstEvent.intercept();
  }

  @Override
  public double outputTokenMs() {
    return outputTokenMs;
  }

  @Override
  public double streamSlotMs() {
    return streamSlotMs;
  }

  /** Returns the mean time of the requests of all kinds, in milliseconds. */
  public double slotMs() {
    return slotMs;
  }

  @Override
  public double plainCallMs() {
    return plainCallMs;
  }
}
