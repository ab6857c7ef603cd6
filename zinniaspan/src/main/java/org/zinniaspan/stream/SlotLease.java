package org.zinniaspan.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.request.NotRunReason;

/** A lease request and, once it is granted, the lease; the slot is released at most once. */
final class SlotLease {

  private static final long CALLER_CHECK_PERIOD_MS = 100;
  private static final long WITHDRAWAL_WAIT_MS = 500;

  private final SlotService slots;
  private final LeaseRequest request;
  private final AtomicBoolean preempted = new AtomicBoolean();
  private final AtomicBoolean released = new AtomicBoolean();
  private final CompletableFuture<LeaseResponse> response;

  private SlotLease(SlotService slots, LeaseRequest request) {
    this.slots = slots;
    this.request = request;
    this.response = slots.acquire(request, () -> preempted.set(true));
  }

  /** Requests a slot and returns without waiting for the response. */
  static SlotLease request(SlotService slots, LeaseRequest request) {
    return new SlotLease(slots, request);
  }

  /**
   * Waits for the final response; withdraws the request if the caller disconnects or the thread is
   * interrupted.
   */
  LeaseResponse await(SlotWait wait, BooleanSupplier callerLeft) {
    while (!wait.await(response, CALLER_CHECK_PERIOD_MS)) {
      if (Thread.currentThread().isInterrupted() || callerLeft.getAsBoolean()) {
        withdrawAndWait(wait);
        return refused(NotRunReason.CALLER_LEFT);
      }
    }
    return finalResponse();
  }

  private LeaseResponse finalResponse() {
    return response.isCompletedExceptionally()
        ? refused(NotRunReason.NO_ENDPOINT)
        : response.join();
  }

  private static LeaseResponse refused(NotRunReason reason) {
    return new LeaseResponse.Refused(reason, Optional.empty());
  }

  private void withdrawAndWait(SlotWait wait) {
    withdraw();
    wait.await(response, WITHDRAWAL_WAIT_MS);
  }

  /** Withdraws the request; a grant that arrives all the same is released as unused. */
  private void withdraw() {
    slots.withdraw(request.attemptId());
    response.thenAccept(
        result -> {
          if (result instanceof LeaseResponse.Granted) {
            release(SlotUse.of(SlotResult.UNUSED));
          }
        });
  }

  /** Returns the id of the attempt. */
  String attemptId() {
    return request.attemptId();
  }

  /** Returns whether the slot was preempted, so that the work stops and requests another slot. */
  boolean isPreempted() {
    return preempted.get();
  }

  /** Releases the slot; a second call has no effect. */
  void release(SlotUse use) {
    if (released.compareAndSet(false, true)) {
      slots.release(request.attemptId(), use);
    }
  }
}
