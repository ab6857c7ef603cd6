package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.ClaimVote;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.request.NotRunReason;

/**
 * State machine of one attempt at a non-idempotent call: it claims the key, acquires a slot and
 * dispatches the call at most once.
 *
 * <p>If another attempt holds the key, this one waits for the outcome of that attempt. State is
 * guarded by this object's lock.
 */
final class CallAttempt {

  private enum State {
    /** Has not claimed the key yet. */
    NEW,
    /** Requests votes for the key; no slot has been requested in this round. */
    CLAIMING,
    /** Waits for a random delay before it claims the key again. */
    BACKING_OFF,
    /** Holds the key and waits for a slot. */
    WAITING_FOR_SLOT,
    /** Requests new votes, because the earlier ones have expired. */
    CONFIRMING,
    /** The call may have been sent. */
    SENDING,
    /** Another attempt holds the key; waits for the outcome of that attempt. */
    FOLLOWING,
    DONE
  }

  private static final int MAX_ENDPOINT_ATTEMPTS = 2;

  private final RunnerContext context;
  private final ClaimMessageSender messages;
  private final OutcomeCache outcomes;
  private final Map<String, CallAttempt> attemptsByClaimId;
  private final ServiceCall call;
  private final String key;
  private final String id;
  private final long startedMs;
  private final CompletableFuture<CallResult> result = new CompletableFuture<>();
  private final Map<String, String> followers = new HashMap<>();
  private final Set<String> excluded = new HashSet<>();
  private State state = State.NEW;
  private ClaimRound round;
  private int rounds;
  private int endpointAttempts;
  private long nextClaimMs;
  private Runnable actionOnMajority;
  private boolean dispatchAbandoned;
  private boolean startDenied;
  private Optional<String> slotAttemptId = Optional.empty();
  private ClaimRound.KeyHolder holder;
  private long holderLastReplyMs;
  private long holderLastRequestMs;

  CallAttempt(
      RunnerContext context,
      OutcomeCache outcomes,
      Map<String, CallAttempt> attemptsByClaimId,
      ServiceCall call,
      String key,
      long startedMs) {
    this.context = context;
    this.messages = new ClaimMessageSender(context);
    this.outcomes = outcomes;
    this.attemptsByClaimId = attemptsByClaimId;
    this.call = call;
    this.key = key;
    this.id = context.self.vm() + '/' + context.self.incarnation() + '/' + call.requestId();
    this.startedMs = startedMs;
  }

  String id() {
    return id;
  }

  CompletableFuture<CallResult> result() {
    return result;
  }

  private long nowMs() {
    return context.clock.nowMs();
  }

  private long startDeadlineMs() {
    return startedMs + context.settings.startTimeoutMs();
  }

  /** Starts the first claim of the key. */
  synchronized void start() {
    claimOrGiveUp(nowMs());
  }

  private void claim() {
    state = State.CLAIMING;
    rounds++;
    round =
        new ClaimRound(
            id + '#' + rounds, context.voters(), context.settings.voteValidMs(), nowMs());
    attemptsByClaimId.put(round.claimId(), this);
    sendClaimRequest();
  }

  private void sendClaimRequest() {
    long nowMs = nowMs();
    VoterList list = context.voters();
    if (list.revision() != round.list().revision()) {
      round.restart(list, nowMs);
    }
    messages.sendClaimRequest(key, round, nowMs);
  }

  /** Resends requests and applies timeouts; called periodically. */
  synchronized void tick() {
    long nowMs = nowMs();
    switch (state) {
      case CLAIMING, CONFIRMING -> tickClaim(nowMs);
      case BACKING_OFF -> {
        if (nowMs >= nextClaimMs) {
          claimOrGiveUp(nowMs);
        }
      }
      case WAITING_FOR_SLOT -> {
        if (nowMs >= startDeadlineMs()) {
          context.slots.withdraw(slotAttemptId.orElse(""));
        }
      }
      case FOLLOWING -> tickFollow(nowMs);
      default -> {
        // No timeout applies in this state.
      }
    }
  }

  private void tickClaim(long nowMs) {
    boolean replyTimeoutPassed = nowMs - round.startedMs() >= context.settings.replyTimeoutMs();
    Optional<ClaimRound.KeyHolder> other = round.mostNamedHolder();
    if (state == State.CLAIMING && replyTimeoutPassed && other.isPresent()) {
      follow(other.get());
    } else if (replyTimeoutPassed
        && round.lacksMajorityOfReplies()
        && !round.list().voters().isEmpty()) {
      finishUnknown("no majority of the voters is in reach: " + round.summary());
    } else if (nowMs >= claimDeadlineMs()) {
      finishUnknown("no majority of the voters accepted the claim in time: " + round.summary());
    } else if (nowMs - round.lastRequestMs() >= context.settings.resendPeriodMs()) {
      sendClaimRequest();
    }
  }

  private long claimDeadlineMs() {
    long confirmMs = round.startedMs() + context.settings.voteValidMs();
    return dispatchAbandoned ? Math.max(confirmMs, startDeadlineMs()) : startDeadlineMs();
  }

  private void tickFollow(long nowMs) {
    if (nowMs - holderLastReplyMs >= context.settings.replyTimeoutMs()) {
      finishUnknown("VM " + holder.vm() + ", which holds the key, is out of reach");
    } else if (nowMs - holderLastRequestMs >= context.settings.resendPeriodMs()) {
      requestHolderOutcome(nowMs);
    }
  }

  /** Handles a vote; votes on other claims are ignored. */
  synchronized void onVote(String vm, long incarnation, ClaimVote vote) {
    boolean awaitsVotes = state == State.CLAIMING || state == State.CONFIRMING;
    if (!awaitsVotes || !vote.getAttemptId().equals(round.claimId())) {
      return;
    }
    round.addVote(vm, incarnation, vote);
    if (round.hasMajority(nowMs())) {
      onMajority();
    } else if (state == State.CLAIMING && round.isBlocked()) {
      round.mostNamedHolder().ifPresent(this::follow);
    }
  }

  private void onMajority() {
    if (state == State.CONFIRMING) {
      Runnable action = actionOnMajority;
      actionOnMajority = null;
      action.run();
    } else if (round.isNotRunOnly()) {
      finishNotRun(NotRunReason.OVERLOADED, retryAfterMs());
    } else {
      acquireSlot();
    }
  }

  private Optional<Long> retryAfterMs() {
    return Optional.of(blockMs());
  }

  private long blockMs() {
    return context.settings.blockMs();
  }

  private void acquireSlot() {
    state = State.WAITING_FOR_SLOT;
    endpointAttempts++;
    String attemptId = call.requestId() + "-" + endpointAttempts;
    slotAttemptId = Optional.of(attemptId);
    context
        .slots
        .acquire(newLeaseRequest(attemptId), () -> {})
        .thenAccept(response -> onLeaseResponse(attemptId, response));
  }

  private LeaseRequest newLeaseRequest(String attemptId) {
    return new LeaseRequest(
        attemptId,
        Pool.service(call.service()),
        call.serviceClass(),
        call.organisation(),
        call.arrivedMs(),
        Math.min(call.dueMs(), startDeadlineMs()),
        0,
        0,
        List.of(),
        excluded,
        false);
  }

  private synchronized void onLeaseResponse(String attemptId, LeaseResponse response) {
    if (state != State.WAITING_FOR_SLOT || !slotAttemptId.equals(Optional.of(attemptId))) {
      if (response instanceof LeaseResponse.Granted) {
        context.slots.release(attemptId, SlotUse.of(SlotResult.UNUSED));
      }
      return;
    }
    if (response instanceof LeaseResponse.Granted granted) {
      runWithMajority(() -> dispatch(granted));
      return;
    }
    slotAttemptId = Optional.empty();
    LeaseResponse.Refused refused = (LeaseResponse.Refused) response;
    Optional<Long> retryAfterMs = refused.retryAfterMs().map(ms -> Math.max(ms, blockMs()));
    dispatchAbandoned = true;
    runWithMajority(() -> finishNotRun(refused.reason(), retryAfterMs));
  }

  /** Runs an action once a majority of votes is valid, at once or after requesting new votes. */
  private void runWithMajority(Runnable action) {
    long nowMs = nowMs();
    if (round.hasMajority(nowMs)) {
      action.run();
      return;
    }
    state = State.CONFIRMING;
    actionOnMajority = action;
    round.restart(context.voters(), nowMs);
    sendClaimRequest();
  }

  private void dispatch(LeaseResponse.Granted granted) {
    Optional<Endpoint> endpoint = context.endpoint(granted.endpoint());
    if (round.isNotRunOnly() || endpoint.isEmpty()) {
      releaseSlot(SlotResult.UNUSED);
      finishNotRun(NotRunReason.NO_ENDPOINT, retryAfterMs());
      return;
    }
    state = State.SENDING;
    EventLog.event("call-dispatch")
        .with("requestId", call.requestId())
        .with("claim", round.claimId())
        .with("endpoint", granted.endpoint())
        .with("votes", round.summary())
        .info();
    context.sender.send(
        endpoint.get(),
        call,
        slotAttemptId.orElse(id),
        () -> mayStart(granted),
        sent -> onSent(granted.endpoint(), sent));
  }

  private synchronized boolean mayStart(LeaseResponse.Granted granted) {
    long nowMs = nowMs();
    boolean may =
        state == State.SENDING
            && nowMs <= granted.expiresAtMs()
            && nowMs < startDeadlineMs()
            && round.hasMajority(nowMs);
    startDenied = !may;
    return may;
  }

  private synchronized void onSent(String endpoint, SendResult sent) {
    if (sent instanceof SendResult.Answered answered) {
      releaseSlot(SlotResult.COMPLETED);
      finish(CallResult.answered(answered.response()), true);
    } else if (sent instanceof SendResult.MaybeSent maybeSent) {
      releaseSlot(SlotResult.BROKEN);
      finish(CallResult.unknown(maybeSent.reason()), true);
    } else {
      onNotSent(endpoint);
    }
  }

  private void onNotSent(String endpoint) {
    releaseSlot(startDenied ? SlotResult.UNUSED : SlotResult.UNREACHABLE);
    if (!startDenied) {
      excluded.add(endpoint);
    }
    if (endpointAttempts < MAX_ENDPOINT_ATTEMPTS && nowMs() < startDeadlineMs()) {
      acquireSlot();
      return;
    }
    dispatchAbandoned = true;
    runWithMajority(() -> finishNotRun(NotRunReason.NO_ENDPOINT, retryAfterMs()));
  }

  private void releaseSlot(SlotResult slotResult) {
    slotAttemptId.ifPresent(attemptId -> context.slots.release(attemptId, SlotUse.of(slotResult)));
    slotAttemptId = Optional.empty();
  }

  private void follow(ClaimRound.KeyHolder other) {
    releaseRound(0);
    state = State.FOLLOWING;
    holder = other;
    holderLastReplyMs = nowMs();
    EventLog.event("call-follow")
        .with("requestId", call.requestId())
        .with("claim", round.claimId())
        .with("holder", other.attemptId())
        .info();
    requestHolderOutcome(nowMs());
  }

  private void requestHolderOutcome(long nowMs) {
    holderLastRequestMs = nowMs;
    messages.sendOutcomeRequest(holder, key, id);
  }

  /** Handles a reply from the attempt that holds the key. */
  synchronized void onOutcome(OutcomeReply reply) {
    if (state != State.FOLLOWING) {
      return;
    }
    switch (reply.getKind()) {
      case RUNNING -> holderLastReplyMs = nowMs();
      case NOT_RUN -> backOff();
      default -> finish(OutcomeCache.toResult(reply, 0), false);
    }
  }

  private void backOff() {
    state = State.BACKING_OFF;
    int periodMs = (int) context.settings.resendPeriodMs();
    nextClaimMs = nowMs() + 1 + context.random.nextInt(periodMs);
  }

  private void claimOrGiveUp(long nowMs) {
    if (nowMs < startDeadlineMs()) {
      claim();
    } else {
      finish(CallResult.unknown("the call did not get the key in time"), false);
    }
  }

  /**
   * Registers an attempt at another VM, which gets the outcome when this attempt ends.
   *
   * @return whether this attempt is active; if not, nothing is registered
   */
  synchronized boolean addFollower(String vm, String attemptId) {
    boolean active = state != State.DONE && state != State.FOLLOWING && state != State.BACKING_OFF;
    if (active) {
      followers.put(attemptId, vm);
    }
    return active;
  }

  private void finishUnknown(String reason) {
    boolean held = state == State.CLAIMING || state == State.CONFIRMING;
    if (held) {
      releaseSlot(SlotResult.UNUSED);
      releaseRound(0);
    }
    finish(CallResult.unknown(reason), false);
  }

  private void finishNotRun(NotRunReason reason, Optional<Long> retryAfterMs) {
    CallResult notRun = CallResult.notRun(reason, retryAfterMs);
    state = State.DONE;
    result.complete(notRun);
    releaseRound(blockMs());
    log(notRun);
  }

  /**
   * Releases the claim of the current round at its voters and reports "not run" to the followers.
   * This claim must never lead to a dispatch.
   */
  private void releaseRound(long blockMs) {
    CallResult notRun = CallResult.notRun(NotRunReason.OVERLOADED, Optional.empty());
    notifyFollowers(outcomes.put(key, round.claimId(), notRun));
    attemptsByClaimId.remove(round.claimId());
    messages.sendRelease(round.list(), key, round.claimId(), blockMs);
  }

  private void finish(CallResult outcome, boolean dispatched) {
    state = State.DONE;
    if (dispatched) {
      notifyFollowers(outcomes.put(key, round.claimId(), outcome));
      attemptsByClaimId.remove(round.claimId());
    }
    result.complete(outcome);
    log(outcome);
  }

  private void notifyFollowers(OutcomeReply reply) {
    followers.forEach((attemptId, vm) -> messages.sendOutcome(vm, attemptId, reply));
    followers.clear();
  }

  private void log(CallResult outcome) {
    EventLog.event("call-outcome")
        .with("requestId", call.requestId())
        .with("claim", id + '#' + rounds)
        .with("outcome", outcome.outcome())
        .with("ms", nowMs() - startedMs)
        .info();
  }
}
