package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An ask at the gateway that made it. Guarded by the lock of its shard. */
final class GatewayAsk {

  private static final long FIRST_RESEND_MS = 100;
  private static final long MAX_RESEND_MS = 400;

  private final SlotAsk ask;
  private final long sequence;
  private final Runnable onPreempt;
  private final CompletableFuture<SlotAnswer> answer = new CompletableFuture<>();
  private Optional<String> endpoint = Optional.empty();
  private int round;
  private long resendMs = FIRST_RESEND_MS;
  private long nextSendMs = Long.MIN_VALUE;
  private boolean preempted;

  GatewayAsk(SlotAsk ask, long sequence, Runnable onPreempt) {
    this.ask = ask;
    this.sequence = sequence;
    this.onPreempt = onPreempt;
  }

  SlotAsk ask() {
    return ask;
  }

  String attemptId() {
    return ask.attemptId();
  }

  long sequence() {
    return sequence;
  }

  CompletableFuture<SlotAnswer> answer() {
    return answer;
  }

  Optional<String> endpoint() {
    return endpoint;
  }

  void hold(String lender) {
    endpoint = Optional.of(lender);
  }

  int round() {
    return round;
  }

  /** Makes grants for what was sent so far stale, and sends again at once. */
  void renew() {
    round++;
    resendAtOnce();
  }

  void resendAtOnce() {
    nextSendMs = Long.MIN_VALUE;
    resendMs = FIRST_RESEND_MS;
  }

  boolean isSendDue(long nowMs) {
    return nowMs >= nextSendMs;
  }

  void sent(long nowMs) {
    nextSendMs = nowMs + resendMs;
    resendMs = Math.min(MAX_RESEND_MS, 2 * resendMs);
  }

  /** Returns what to run when the work should stop; does nothing the second time. */
  Runnable preempt() {
    boolean first = !preempted;
    preempted = true;
    return first ? onPreempt : () -> {};
  }
}
