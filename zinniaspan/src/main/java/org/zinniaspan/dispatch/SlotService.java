package org.zinniaspan.dispatch;

import java.util.concurrent.CompletableFuture;

/**
 * Leases the slots of endpoints to a gateway.
 *
 * <p>Example: {@code slots.acquire(request, session::stopAndRetry).thenAccept(this::onResponse)};
 * each granted request is followed by one {@link #release}.
 */
public interface SlotService {

  /**
   * Requests a slot; the future completes once, with the final response.
   *
   * @param request describes the work that needs the slot
   * @param onPreempt called at most once, after a grant, when the work should stop and request a
   *     slot again
   */
  CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt);

  /** Withdraws a waiting request; its future completes as refused. */
  void withdraw(String attemptId);

  /** Releases a granted slot; a second call for the same attempt does nothing. */
  void release(String attemptId, SlotUse use);
}
