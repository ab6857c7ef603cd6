package org.zinniaspan.runner;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.ForwardedCall;
import org.zinniaspan.peer.proto.ForwardedOutcome;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.request.Outcome;

/**
 * Runs calls that other VMs forward to this one, each request id once.
 *
 * <p>State is guarded by this object's lock.
 */
final class ForwardedCallHandler {

  /**
   * Starts a forwarded call; {@code startedMs} is the earliest time its caller may have sent it.
   */
  @FunctionalInterface
  interface Starter {
    CompletableFuture<CallResult> start(ServiceCall call, long startedMs);
  }

  private static final int MAX_REMEMBERED_CALLS = 2_000;

  private final RunnerContext context;
  private final ArrivalTimeEstimator arrivals;
  private final Starter starter;
  private final Map<String, CompletableFuture<CallResult>> results =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(
            Map.Entry<String, CompletableFuture<CallResult>> eldest) {
          return size() > MAX_REMEMBERED_CALLS && eldest.getValue().isDone();
        }
      };

  ForwardedCallHandler(RunnerContext context, ArrivalTimeEstimator arrivals, Starter starter) {
    this.context = context;
    this.arrivals = arrivals;
    this.starter = starter;
  }

  /**
   * Handles a forwarded call, or a question about one, and replies with the state of the call. The
   * reply carries this VM's time, and no outcome if the call is unknown.
   */
  void handle(String vm, ForwardedCall forwarded) {
    String requestId = forwarded.getRequestId();
    if (!forwarded.getQuestion()) {
      start(vm, forwarded);
    }
    CompletableFuture<CallResult> result;
    synchronized (this) {
      result = results.get(requestId);
    }
    if (result == null) {
      send(vm, ForwardedOutcome.newBuilder().setRequestId(requestId));
    } else if (result.isDone()) {
      send(vm, requestId, result.join());
    } else {
      OutcomeReply running = OutcomeReply.newBuilder().setKind(OutcomeReply.Kind.RUNNING).build();
      send(vm, ForwardedOutcome.newBuilder().setRequestId(requestId).setOutcome(running));
    }
  }

  private void start(String vm, ForwardedCall forwarded) {
    final long startedMs =
        Math.min(arrivals.earliestArrivalMs(), forwarded.getReceiverMs()) - forwarded.getAgeMs();
    Optional<ServiceClass> serviceClass =
        context.configuration.get().rules().serviceClass(forwarded.getServiceClass());
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    synchronized (this) {
      if (results.putIfAbsent(forwarded.getRequestId(), result) != null) {
        return;
      }
    }
    result.thenAccept(done -> send(vm, forwarded.getRequestId(), done));
    if (serviceClass.isEmpty()) {
      String message = "class '" + forwarded.getServiceClass() + "' is unknown in the home zone";
      result.complete(CallResult.unknown(message));
      return;
    }
    starter
        .start(call(forwarded, serviceClass.get(), startedMs), startedMs)
        .thenAccept(result::complete);
  }

  private static ServiceCall call(
      ForwardedCall forwarded, ServiceClass serviceClass, long startedMs) {
    return new ServiceCall(
        forwarded.getRequestId(),
        forwarded.getOrganisation(),
        serviceClass,
        forwarded.getService(),
        forwarded.getMethod(),
        forwarded.getPath(),
        forwarded.getHeadersMap(),
        forwarded.getBody().toByteArray(),
        Optional.of(forwarded.getIdempotencyKey()),
        startedMs);
  }

  private void send(String vm, String requestId, CallResult result) {
    ForwardedOutcome.Builder outcome =
        ForwardedOutcome.newBuilder()
            .setRequestId(requestId)
            .setOutcome(OutcomeCache.toReply("", requestId, result));
    if (result.outcome() instanceof Outcome.NotRun notRun) {
      notRun.retryAfterMs().ifPresent(outcome::setRetryAfterMs);
    }
    send(vm, outcome);
  }

  private void send(String vm, ForwardedOutcome.Builder outcome) {
    outcome.setSentMs(context.clock.nowMs());
    context.link.send(vm, Envelope.newBuilder().setForwardedOutcome(outcome));
  }

  /** Returns whether all forwarded calls have ended. */
  synchronized boolean isIdle() {
    return results.values().stream().allMatch(CompletableFuture::isDone);
  }
}
