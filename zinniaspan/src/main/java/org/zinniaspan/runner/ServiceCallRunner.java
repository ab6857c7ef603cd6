package org.zinniaspan.runner;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerMessageRouter;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Envelope.BodyCase;
import org.zinniaspan.request.NotRunReason;

/**
 * Runs all calls to plain services; selects the runner by the class and the key of the call.
 *
 * <p>A non-idempotent call with a key runs at most once, in its home zone; if a VM issued the key,
 * the call goes through that VM. A non-idempotent call without a key is made in one attempt: by
 * leaving out the key, the caller declares that it never repeats the call. Other calls may be
 * retried.
 */
public final class ServiceCallRunner implements CallRunner, PeerHandler, Ticking {

  private final RunnerContext context;
  private final ArrivalTimeEstimator arrivals;
  private final AtMostOnceRunner atMostOnce;
  private final RetryingCallRunner retrying;
  private final CallForwarder forwarder;
  private final ForwardedCallHandler forwarded;
  private final IssuedKeyRunner issuedKeys;

  /** Creates a runner. */
  public ServiceCallRunner(RunnerContext context) {
    this.context = context;
    this.arrivals = new ArrivalTimeEstimator(context.clock, context.settings.voteValidMs());
    this.atMostOnce = new AtMostOnceRunner(context, arrivals);
    this.retrying = new RetryingCallRunner(context);
    this.forwarder = new CallForwarder(context, arrivals);
    this.issuedKeys = new IssuedKeyRunner(context);
    this.forwarded = new ForwardedCallHandler(context, arrivals, this::runForwarded);
  }

  /** Registers this runner with a router for the peer messages that it handles. */
  public ServiceCallRunner register(PeerMessageRouter router) {
    router.register(
        this,
        BodyCase.CLAIM_REQUEST,
        BodyCase.CLAIM_VOTE,
        BodyCase.CLAIM_RELEASE,
        BodyCase.CLAIM_SYNC_REQUEST,
        BodyCase.CLAIM_SYNC_REPLY,
        BodyCase.OUTCOME_REQUEST,
        BodyCase.OUTCOME_REPLY,
        BodyCase.FORWARDED_CALL,
        BodyCase.FORWARDED_OUTCOME);
    return this;
  }

  @Override
  public CompletableFuture<CallResult> run(ServiceCall call) {
    Optional<IssuedKey> issued = issuedKey(call);
    if (issued.isPresent() && !issued.get().vm().equals(context.self.vm())) {
      return forwarder.forwardToVm(call, issued.get().vm());
    }
    if (issued.isPresent()) {
      return issuedKeys.run(call, issued.get(), arrivals.earliestArrivalMs(), this::runOnce);
    }
    return runInHomeZone(call, HomeZones.of(call, context.zone, context.configuration.get()));
  }

  private static Optional<IssuedKey> issuedKey(ServiceCall call) {
    return call.serviceClass().nonIdempotent()
        ? call.idempotencyKey().flatMap(IssuedKey::parse)
        : Optional.empty();
  }

  /** Makes one attempt at a call whose key only this process runs. */
  private CompletableFuture<CallResult> runOnce(ServiceCall call) {
    Optional<String> zone = HomeZones.of(call, context.zone, context.configuration.get());
    boolean here = zone.filter(context.zone::equals).isPresent();
    return here ? retrying.run(call) : runInHomeZone(call, zone);
  }

  private CompletableFuture<CallResult> runInHomeZone(ServiceCall call, Optional<String> zone) {
    if (zone.isEmpty()) {
      return CompletableFuture.completedFuture(noEndpoint(call));
    }
    if (!zone.get().equals(context.zone)) {
      return forwarder.forwardToZone(call, zone.get());
    }
    return runClaimed(call, arrivals.earliestArrivalMs());
  }

  @Override
  public Optional<String> issueKey() {
    return Optional.of(issuedKeys.issue());
  }

  private static CallResult noEndpoint(ServiceCall call) {
    return call.serviceClass().nonIdempotent()
        ? CallResult.unknown("no endpoint of service '" + call.service() + "' is listed any more")
        : CallResult.notRun(NotRunReason.NO_ENDPOINT, Optional.empty());
  }

  /** Runs a call forwarded by another VM: by its key if this VM issued it, otherwise by claim. */
  private CompletableFuture<CallResult> runForwarded(ServiceCall call, long startedMs) {
    Optional<IssuedKey> issued = issuedKey(call).filter(key -> key.vm().equals(context.self.vm()));
    return issued.isPresent()
        ? issuedKeys.run(call, issued.get(), startedMs, this::runOnce)
        : runClaimed(call, startedMs);
  }

  private CompletableFuture<CallResult> runClaimed(ServiceCall call, long startedMs) {
    boolean claimed = call.serviceClass().nonIdempotent() && call.idempotencyKey().isPresent();
    return claimed ? atMostOnce.run(call, startedMs) : retrying.run(call);
  }

  @Override
  public void handle(Envelope message) {
    String vm = message.getFromVm();
    switch (message.getBodyCase()) {
      case FORWARDED_CALL -> forwarded.handle(vm, message.getForwardedCall());
      case FORWARDED_OUTCOME -> forwarder.onOutcome(vm, message.getForwardedOutcome());
      default -> atMostOnce.handle(message);
    }
  }

  @Override
  public void tick() {
    atMostOnce.tick();
    forwarder.tick();
    issuedKeys.tick();
  }

  /**
   * Returns whether no call is in progress and no other VM has recently requested an outcome; a
   * graceful shutdown waits until then.
   */
  public boolean isIdle() {
    return atMostOnce.isIdle() && forwarder.isIdle() && forwarded.isIdle();
  }

  /** Returns the voter of this VM. */
  public ClaimVoter voter() {
    return atMostOnce.voter();
  }
}
