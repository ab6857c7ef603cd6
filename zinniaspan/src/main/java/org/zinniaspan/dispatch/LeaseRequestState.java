package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** State of a lease request at the gateway that made it. Guarded by the lock of its shard. */
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

  /**
   * Starts a new round, which invalidates grants of earlier ones, and makes a resend due at once.
   */
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

  /** Records a send and schedules the next with exponential backoff. */
  void recordSent(long nowMs) {
    nextSendMs = nowMs + resendDelayMs;
    resendDelayMs = Math.min(MAX_RESEND_DELAY_MS, 2 * resendDelayMs);
  }

  /** Returns the callback that stops the work; from the second call on, one that does nothing. */
  Runnable takePreemptCallback() {
    boolean first = !preempted;
    preempted = true;
    return first ? onPreempt : () -> {};
  }
}
