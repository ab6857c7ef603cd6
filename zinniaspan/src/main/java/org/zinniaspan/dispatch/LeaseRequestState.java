package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An ask at the gateway that made it. Guarded by the lock of its shard. */
final class LeaseRequestState {

  private static final long INITIAL_RESEND_DELAY_MS = 100;
  private static final long MAX_RESEND_DELAY_MS = 400;

  private final LeaseRequest request;
  private final long sequence;
  private final Runnable onPreempt;
  private final CompletableFuture<LeaseResponse> response = new CompletableFuture<>();
  private Optional<String> endpoint = Optional.empty();
  private int round;
  private long resendDelayMs = INITIAL_RESEND_DELAY_MS;
  private long nextSendMs = Long.MIN_VALUE;
  private boolean preempted;

  LeaseRequestState(LeaseRequest request, long sequence, Runnable onPreempt) {
    this.request = request;
    this.sequence = sequence;
    this.onPreempt = onPreempt;
  }

  LeaseRequest request() {
    return request;
  }

  String attemptId() {
    return request.attemptId();
  }

  long sequence() {
    return sequence;
  }

  CompletableFuture<LeaseResponse> response() {
    return response;
  }

  Optional<String> endpoint() {
    return endpoint;
  }

  void hold(String endpointName) {
    endpoint = Optional.of(endpointName);
  }

  int round() {
    return round;
  }

  /** Makes grants for what was sent so far stale, and sends again at once. */
  void startRound() {
    round++;
    resendNow();
  }

  void resendNow() {
    nextSendMs = Long.MIN_VALUE;
    resendDelayMs = INITIAL_RESEND_DELAY_MS;
  }

  boolean isSendDue(long nowMs) {
    return nowMs >= nextSendMs;
  }

  void recordSent(long nowMs) {
    nextSendMs = nowMs + resendDelayMs;
    resendDelayMs = Math.min(MAX_RESEND_DELAY_MS, 2 * resendDelayMs);
  }

  /** Returns what to run when the work should stop; does nothing the second time. */
  Runnable takePreemptCallback() {
    boolean first = !preempted;
    preempted = true;
    return first ? onPreempt : () -> {};
  }
}
