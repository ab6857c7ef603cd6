package org.zinniaspan.dispatch;

import java.util.concurrent.CompletableFuture;

/**
 * Lends the slots of endpoints to a gateway.
 *
 * <p>Example: {@code slots.acquire(ask, session::stopAndAskAgain).thenAccept(this::onAnswer)}; each
 * granted ask is followed by one {@link #release}.
 */
public interface SlotService {

  /**
   * Asks for a slot; the future completes once, with a final answer.
   *
   * @param request what for
   * @param onPreempt called at most once, after a grant, when the work should stop and ask again
   */
  CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt);

  /** Withdraws an ask that waits; its future completes as refused. */
  void withdraw(String attemptId);

  /** Gives a granted slot back; a second call for the same attempt does nothing. */
  void release(String attemptId, SlotUse use);
}
