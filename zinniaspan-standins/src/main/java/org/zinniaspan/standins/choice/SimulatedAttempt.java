package org.zinniaspan.standins.choice;

import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;

/** One attempt of a simulated request on one engine; releases its slot once, when it ends. */
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

  /** Counts a generated token and returns whether it was the last of an attempt still running. */
  boolean onToken() {
    if (generatedTokens == 0) {
      firstTokenMs = request.nowMs() - sentMs;
    }
    generatedTokens++;
    request.onToken(this);
    return generatedTokens >= tokensToGenerate && !ended;
  }

  /** Ends the attempt after its last token. */
  void onFinished() {
    end(SlotResult.COMPLETED);
    request.onFinished();
  }

  /** Ends the attempt after the engine broke its stream. */
  void onBroken() {
    end(SlotResult.BROKEN);
    request.onFailed(this);
  }

  /** Ends the attempt after the connection to the engine timed out. */
  void onUnreachable() {
    end(SlotResult.UNREACHABLE);
    request.onFailed(this);
  }

  /** Ends the attempt because another one delivers the answer or the request has ended. */
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
