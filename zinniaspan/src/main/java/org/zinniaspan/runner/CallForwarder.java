package org.zinniaspan.runner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.ForwardedCall;
import org.zinniaspan.peer.proto.ForwardedOutcome;
import org.zinniaspan.peer.proto.OutcomeReply;

/**
 * Forwards calls to a VM of their home zone, or to the VM that issued their key, and waits for the
 * outcome.
 *
 * <p>The forwarder first requests the receiver's time and sends the call with that time, so that
 * the receiver can compute the age of a call that was delayed on the way.
 */
final class CallForwarder implements Ticking {

  /** Maximum body size in bytes; a peer message must also hold the headers of the call. */
  static final int MAX_BODY_BYTES = 200 * 1024;

  private final RunnerContext context;
  private final ArrivalTimeEstimator arrivals;
  private final Map<String, PendingForward> open = new ConcurrentHashMap<>();

  CallForwarder(RunnerContext context, ArrivalTimeEstimator arrivals) {
    this.context = context;
    this.arrivals = arrivals;
  }

  /** Forwards a call to a random VM of the zone that is not leaving. */
  CompletableFuture<CallResult> forwardToZone(ServiceCall call, String zone) {
    return open(call, () -> anyVmOf(zone));
  }

  /** Forwards a call to the given VM. */
  CompletableFuture<CallResult> forwardToVm(ServiceCall call, String vm) {
    return open(call, () -> Optional.of(vm));
  }

  private Optional<String> anyVmOf(String zone) {
    List<String> vms =
        context.configuration.get().vms().entryVmsOf(zone).stream()
            .filter(vm -> !vm.isLeaving())
            .map(VmEntry::name)
            .toList();
    return vms.isEmpty()
        ? Optional.empty()
        : Optional.of(vms.get(context.random.nextInt(vms.size())));
  }

  private CompletableFuture<CallResult> open(ServiceCall call, Supplier<Optional<String>> target) {
    if (call.body().length > MAX_BODY_BYTES) {
      String message =
          "body of %d bytes is too long to be passed on to another VM; %d bytes are not"
              .formatted(call.body().length, MAX_BODY_BYTES);
      return CompletableFuture.completedFuture(CallResult.unknown(message));
    }
    PendingForward forward = new PendingForward(call, target);
    open.put(call.requestId(), forward);
    forward.result.whenComplete((result, failure) -> open.remove(call.requestId()));
    forward.requestReceiverTime();
    return forward.result;
  }

  /** Handles a reply from a receiver. */
  void onOutcome(String vm, ForwardedOutcome outcome) {
    PendingForward forward = open.get(outcome.getRequestId());
    if (forward != null) {
      forward.onOutcome(vm, outcome);
    }
  }

  @Override
  public void tick() {
    open.values().forEach(PendingForward::tick);
  }

  boolean isIdle() {
    return open.isEmpty();
  }

  /** A call that has been forwarded and has no outcome yet; guarded by this object's lock. */
  private final class PendingForward {

    private final ServiceCall call;
    private final Supplier<Optional<String>> target;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final long startedMs = arrivals.earliestArrivalMs();
    private Optional<String> vm = Optional.empty();
    private long lastRequestMs;
    private long lastReplyMs = context.clock.nowMs();

    PendingForward(ServiceCall call, Supplier<Optional<String>> target) {
      this.call = call;
      this.target = target;
    }

    synchronized void requestReceiverTime() {
      lastRequestMs = context.clock.nowMs();
      if (vm.isEmpty()) {
        vm = target.get();
        vm.ifPresent(this::log);
      }
      ForwardedCall request =
          ForwardedCall.newBuilder().setRequestId(call.requestId()).setQuestion(true).build();
      send(request);
    }

    private void send(ForwardedCall message) {
      vm.ifPresent(to -> context.link.send(to, Envelope.newBuilder().setForwardedCall(message)));
    }

    private void log(String to) {
      EventLog.event("call-forward").with("requestId", call.requestId()).with("vm", to).info();
    }

    synchronized void tick() {
      long nowMs = context.clock.nowMs();
      if (nowMs - lastReplyMs >= context.settings.replyTimeoutMs()) {
        result.complete(CallResult.unknown(unreachableReason()));
      } else if (nowMs - lastRequestMs >= context.settings.resendPeriodMs()) {
        requestReceiverTime();
      }
    }

    private String unreachableReason() {
      return vm.map(name -> "VM " + name + ", which runs the call, is out of reach")
          .orElse("no VM of the home zone is listed");
    }

    synchronized void onOutcome(String from, ForwardedOutcome outcome) {
      if (!vm.equals(Optional.of(from))) {
        return;
      }
      lastReplyMs = context.clock.nowMs();
      if (!outcome.hasOutcome()) {
        sendCall(outcome.getSentMs());
      } else if (outcome.getOutcome().getKind() != OutcomeReply.Kind.RUNNING) {
        result.complete(OutcomeCache.toResult(outcome.getOutcome(), outcome.getRetryAfterMs()));
      }
    }

    private void sendCall(long receiverMs) {
      ForwardedCall forwarded =
          ForwardedCall.newBuilder()
              .setRequestId(call.requestId())
              .setOrganisation(call.organisation())
              .setServiceClass(call.serviceClass().name())
              .setService(call.service())
              .setMethod(call.method())
              .setPath(call.path())
              .putAllHeaders(call.headers())
              .setBody(ByteString.copyFrom(call.body()))
              .setIdempotencyKey(call.idempotencyKey().orElse(call.requestId()))
              .setReceiverMs(receiverMs)
              .setAgeMs(context.clock.nowMs() - startedMs)
              .build();
      send(forwarded);
    }
  }
}
