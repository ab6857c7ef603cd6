package org.zinniaspan.standins.choice;

import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;

/** One attempt of a request at one engine. */
final class SimulatedAttempt {

  private final SimulatedRequest request;
  private final String id;
  private final BatchingEngine engine;
  private final double sentMs;
  private final int tokensToGenerate;
  private int generatedTokens;
  private double firstTokenMs;
  private boolean ended;

  SimulatedAttempt(
      SimulatedRequest request,
      String id,
      BatchingEngine engine,
      double sentMs,
      int tokensToGenerate) {
    this.request = request;
    this.id = id;
    this.engine = engine;
    this.sentMs = sentMs;
    this.tokensToGenerate = tokensToGenerate;
  }

  int promptTokens() {
    return RequestGenerator.PROMPT_TOKENS;
  }

  int prefixTokens() {
    return RequestGenerator.PREFIX_TOKENS;
  }

  int prefixId() {
    return request.prefixId();
  }

  BatchingEngine engine() {
    return engine;
  }

  int generatedTokens() {
    return generatedTokens;
  }

  /** Counts a token; returns whether it was the last. */
  boolean onToken() {
    if (generatedTokens == 0) {
      firstTokenMs = request.nowMs() - sentMs;
    }
    generatedTokens++;
    request.onToken(this);
    return generatedTokens >= tokensToGenerate && !ended;
  }

  void onFinished() {
    end(SlotResult.COMPLETED);
    request.onFinished();
  }

  void onBroken() {
    end(SlotResult.BROKEN);
    request.onFailed(this);
  }

  void onUnreachable() {
    end(SlotResult.UNREACHABLE);
    request.onFailed(this);
  }

  void cancel() {
    engine.cancel(this);
    end(SlotResult.CANCELLED);
  }

  private void end(SlotResult result) {
    if (!ended) {
      ended = true;
      double nowMs = request.nowMs();
      SlotUse use =
          new SlotUse(result, generatedTokens, (long) firstTokenMs, (long) (nowMs - sentMs));
      request.release(id, use);
    }
  }
}
