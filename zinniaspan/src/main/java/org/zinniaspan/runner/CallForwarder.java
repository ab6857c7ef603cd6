package org.zinniaspan.runner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.ForwardedCall;
import org.zinniaspan.peer.proto.ForwardedOutcome;
import org.zinniaspan.peer.proto.OutcomeReply;

/**
 * Passes calls on to a VM of their home zone and waits for the outcome.
 *
 * <p>It first asks that VM for its time, and sends the call with that time, so that the receiver
 * can tell how old a call that was held up on the way is.
 */
final class CallForwarder implements Ticking {

  /** Longest body, in bytes, that fits a message with its headers. */
  static final int MAX_BODY_BYTES = 200 * 1024;

  private final RunnerPorts ports;
  private final ArrivalTimes arrivals;
  private final Map<String, Forward> open = new ConcurrentHashMap<>();

  CallForwarder(RunnerPorts ports, ArrivalTimes arrivals) {
    this.ports = ports;
    this.arrivals = arrivals;
  }

  /** Passes a call on to a VM of the zone. */
  CompletableFuture<CallResult> forward(ServiceCall call, String zone) {
    List<String> vms =
        ports.configuration.get().vms().entriesOf(zone).stream()
            .filter(vm -> !vm.isLeaving())
            .map(VmEntry::name)
            .toList();
    if (vms.isEmpty()) {
      return CompletableFuture.completedFuture(
          CallResult.unknown("no VM of zone '" + zone + "' is listed"));
    }
    return forwardTo(call, vms.get(ports.random.nextInt(vms.size())));
  }

  /** Passes a call on to a VM. */
  CompletableFuture<CallResult> forwardTo(ServiceCall call, String vm) {
    if (call.body().length > MAX_BODY_BYTES) {
      String message =
          "body of %d bytes is too long to be passed on to VM '%s'; %d bytes are not"
              .formatted(call.body().length, vm, MAX_BODY_BYTES);
      return CompletableFuture.completedFuture(CallResult.unknown(message));
    }
    EventLog.event("call-forward").with("requestId", call.requestId()).with("vm", vm).info();
    Forward forward = new Forward(call, vm);
    open.put(call.requestId(), forward);
    forward.result.whenComplete((result, failure) -> open.remove(call.requestId()));
    forward.ask();
    return forward.result;
  }

  /** Takes in what the receiver says. */
  void onOutcome(String vm, ForwardedOutcome outcome) {
    Forward forward = open.get(outcome.getRequestId());
    if (forward != null && forward.vm.equals(vm)) {
      forward.onOutcome(outcome);
    }
  }

  @Override
  public void tick() {
    open.values().forEach(Forward::tick);
  }

  boolean isIdle() {
    return open.isEmpty();
  }

  /** One call; state is guarded by this object's lock. */
  private final class Forward {

    private final ServiceCall call;
    private final String vm;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final long startedMs = arrivals.earliestMs();
    private long askedMs;
    private long heardMs = ports.clock.nowMs();

    Forward(ServiceCall call, String vm) {
      this.call = call;
      this.vm = vm;
    }

    synchronized void ask() {
      askedMs = ports.clock.nowMs();
      ForwardedCall question =
          ForwardedCall.newBuilder().setRequestId(call.requestId()).setQuestion(true).build();
      ports.link.send(vm, Envelope.newBuilder().setForwardedCall(question));
    }

    synchronized void tick() {
      long nowMs = ports.clock.nowMs();
      if (nowMs - heardMs >= ports.settings.reachTimeoutMs()) {
        result.complete(CallResult.unknown("VM " + vm + " of the home zone is out of reach"));
      } else if (nowMs - askedMs >= ports.settings.askPeriodMs()) {
        ask();
      }
    }

    synchronized void onOutcome(ForwardedOutcome outcome) {
      heardMs = ports.clock.nowMs();
      if (!outcome.hasOutcome()) {
        send(outcome.getSentMs());
      } else if (outcome.getOutcome().getKind() != OutcomeReply.Kind.RUNNING) {
        result.complete(OutcomeMemory.result(outcome.getOutcome(), outcome.getRetryAfterMs()));
      }
    }

    private void send(long receiverMs) {
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
              .setAgeMs(ports.clock.nowMs() - startedMs)
              .build();
      ports.link.send(vm, Envelope.newBuilder().setForwardedCall(forwarded));
    }
  }
}
