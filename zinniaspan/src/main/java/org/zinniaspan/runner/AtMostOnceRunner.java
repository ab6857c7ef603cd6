package org.zinniaspan.runner;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.codec.digest.DigestUtils;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.proto.ClaimVote;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.peer.proto.OutcomeRequest;

/**
 * Runs each call with an idempotency key at most once across all VMs of the availability zone, by
 * majority vote.
 *
 * <p>Before the dispatch, a majority (quorum) of the zone's listed voters must accept the claim of
 * the key. This class handles the peer messages {@code CLAIM_*} and {@code OUTCOME_*}.
 */
public final class AtMostOnceRunner implements CallRunner, PeerHandler, Ticking {

  private static final long OUTCOME_REQUEST_GRACE_MS = 500;

  private final RunnerContext context;
  private final ClaimMessageSender messages;
  private final ClaimVoter voter;
  private final OutcomeCache outcomes;
  private final Map<String, CallAttempt> attempts = new ConcurrentHashMap<>();
  private final Map<String, CallAttempt> attemptsByClaimId = new ConcurrentHashMap<>();
  private final ArrivalTimeEstimator arrivals;
  private volatile long lastOutcomeRequestMs;

  /** Creates a runner together with the voter of this VM. */
  AtMostOnceRunner(RunnerContext context, ArrivalTimeEstimator arrivals) {
    this.context = context;
    this.messages = new ClaimMessageSender(context);
    this.arrivals = arrivals;
    this.voter =
        new ClaimVoter(
            context.self,
            context::voters,
            this::listConfirmedMs,
            context.link,
            context.clock,
            context.settings);
    this.outcomes =
        new OutcomeCache(
            context.clock, context.settings.horizonMs(), context.settings.maxOutcomeBytes());
  }

  private long listConfirmedMs() {
    return arrivals.isJustResumed() ? Long.MIN_VALUE / 2 : context.listConfirmedMs.getAsLong();
  }

  /** Runs a call that carries an idempotency key. */
  @Override
  public CompletableFuture<CallResult> run(ServiceCall call) {
    return run(call, arrivals.earliestArrivalMs());
  }

  /** Runs a call; {@code startedMs} is the earliest time at which its caller may have sent it. */
  CompletableFuture<CallResult> run(ServiceCall call, long startedMs) {
    CallAttempt attempt =
        new CallAttempt(context, outcomes, attemptsByClaimId, call, claimKey(call), startedMs);
    attempts.put(attempt.id(), attempt);
    attempt.result().whenComplete((result, failure) -> attempts.remove(attempt.id()));
    attempt.start();
    return attempt.result();
  }

  /**
   * Returns the key under which a call is claimed: a hash of organisation, service and caller's
   * key.
   */
  static String claimKey(ServiceCall call) {
    String key = call.idempotencyKey().orElse(call.requestId());
    String text = call.organisation() + '\n' + call.service() + '\n' + key;
    return DigestUtils.sha256Hex(text).substring(0, 32);
  }

  @Override
  public void handle(Envelope message) {
    switch (message.getBodyCase()) {
      case CLAIM_VOTE -> onVote(message, message.getClaimVote());
      case OUTCOME_REQUEST -> onOutcomeRequest(message, message.getOutcomeRequest());
      case OUTCOME_REPLY -> onOutcomeReply(message.getOutcomeReply());
      default -> voter.handle(message);
    }
  }

  private void onVote(Envelope message, ClaimVote vote) {
    CallAttempt attempt = attemptsByClaimId.get(vote.getAttemptId());
    if (attempt != null) {
      attempt.onVote(message.getFromVm(), message.getFromIncarnation(), vote);
    }
  }

  private void onOutcomeRequest(Envelope message, OutcomeRequest request) {
    lastOutcomeRequestMs = context.clock.nowMs();
    String vm = message.getFromVm();
    messages.sendOutcome(vm, request.getAttemptId(), outcomeReply(vm, request));
  }

  private OutcomeReply outcomeReply(String vm, OutcomeRequest request) {
    CallAttempt running = attemptsByClaimId.get(request.getHolderAttemptId());
    if (running != null && running.addFollower(vm, request.getAttemptId())) {
      return OutcomeReply.newBuilder()
          .setKey(request.getKey())
          .setKind(OutcomeReply.Kind.RUNNING)
          .build();
    }
    Optional<OutcomeReply> known = outcomes.get(request.getHolderAttemptId());
    if (known.isEmpty()) {
      return OutcomeCache.toReply(
          request.getKey(),
          request.getHolderAttemptId(),
          CallResult.unknown("the VM that ran the call has no record of it"));
    }
    if (known.get().getKind() == OutcomeReply.Kind.NOT_RUN) {
      resendRelease(request);
    }
    return known.get();
  }

  /** Resends the release of a claim that a voter still holds because the first release was lost. */
  private void resendRelease(OutcomeRequest request) {
    messages.sendRelease(
        context.voters(),
        request.getKey(),
        request.getHolderAttemptId(),
        context.settings.blockMs());
  }

  private void onOutcomeReply(OutcomeReply reply) {
    CallAttempt attempt = attempts.get(reply.getAttemptId());
    if (attempt != null) {
      attempt.onOutcome(reply);
    }
  }

  @Override
  public void tick() {
    arrivals.observe();
    voter.tick();
    attempts.values().forEach(CallAttempt::tick);
  }

  /** Returns the voter of this VM. */
  public ClaimVoter voter() {
    return voter;
  }

  /**
   * Returns whether no attempt is in progress and no other VM has requested an outcome within the
   * grace period; a graceful shutdown waits until then.
   */
  public boolean isIdle() {
    return attempts.isEmpty()
        && context.clock.nowMs() - lastOutcomeRequestMs > OUTCOME_REQUEST_GRACE_MS;
  }
}
