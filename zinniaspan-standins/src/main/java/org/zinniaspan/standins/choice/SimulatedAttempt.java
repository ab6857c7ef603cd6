package org.zinniaspan.standins.choice;

import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;

/** One attempt of a request at one engine. */
final class SimulatedAttempt {

  private final SimulatedRequest request;
  private final String id;
  private final SimulatedEngine engine;
  private final double sentMs;
  private final int toGenerate;
  private int tokens;
  private double firstTokenMs;
  private boolean ended;

  SimulatedAttempt(
      SimulatedRequest request, String id, SimulatedEngine engine, double sentMs, int toGenerate) {
    this.request = request;
    this.id = id;
    this.engine = engine;
    this.sentMs = sentMs;
    this.toGenerate = toGenerate;
  }

  int promptTokens() {
    return Demand.PROMPT_TOKENS;
  }

  int prefixTokens() {
    return Demand.PREFIX_TOKENS;
  }

  int family() {
    return request.family();
  }

  SimulatedEngine engine() {
    return engine;
  }

  int tokens() {
    return tokens;
  }

  /** Counts a token; returns whether it was the last. */
  boolean onToken() {
    if (tokens == 0) {
      firstTokenMs = request.nowMs() - sentMs;
    }
    tokens++;
    request.onToken(this);
    return tokens >= toGenerate && !ended;
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
      double now = request.nowMs();
      SlotUse use = new SlotUse(result, tokens, (long) firstTokenMs, (long) (now - sentMs));
      request.release(id, use);
    }
  }
}
