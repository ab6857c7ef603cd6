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
 * One attempt at a non-idempotent call: claim the key, take a slot, dispatch once.
 *
 * <p>An attempt whose key is held by another one follows that one's outcome. State is guarded by
 * this object's lock.
 */
final class CallAttempt {

  private enum State {
    /** Asks the voters for the key; nothing else has been done. */
    CLAIMING,
    /** Waits before it claims again. */
    BACKING_OFF,
    /** Holds the key and waits for a slot. */
    WAITING_FOR_SLOT,
    /** Asks the voters again, because their votes have aged. */
    CONFIRMING,
    /** The call may have been sent. */
    SENDING,
    /** Another attempt holds the key. */
    FOLLOWING,
    DONE
  }

  private static final int MAX_ENDPOINT_TRIES = 2;

  private final RunnerPorts ports;
  private final ClaimMessages messages;
  private final OutcomeMemory outcomes;
  private final Map<String, CallAttempt> byClaimId;
  private final ServiceCall call;
  private final String key;
  private final String id;
  private final long startedMs;
  private final CompletableFuture<CallResult> result = new CompletableFuture<>();
  private final Map<String, String> waiters = new HashMap<>();
  private final Set<String> excluded = new HashSet<>();
  private State state = State.CLAIMING;
  private ClaimRound round;
  private int rounds;
  private int endpointTries;
  private long resumeMs;
  private Runnable whenConfirmed;
  private boolean neverDispatches;
  private boolean permissionExpired;
  private Optional<String> slotAttempt = Optional.empty();
  private ClaimRound.Holder holder;
  private long holderHeardMs;
  private long holderAskedMs;

  CallAttempt(
      RunnerPorts ports,
      OutcomeMemory outcomes,
      Map<String, CallAttempt> byClaimId,
      ServiceCall call,
      String key,
      long startedMs) {
    this.ports = ports;
    this.messages = new ClaimMessages(ports);
    this.outcomes = outcomes;
    this.byClaimId = byClaimId;
    this.call = call;
    this.key = key;
    this.id = ports.self.vm() + '/' + ports.self.incarnation() + '/' + call.requestId();
    this.startedMs = startedMs;
  }

  String id() {
    return id;
  }

  CompletableFuture<CallResult> result() {
    return result;
  }

  private long nowMs() {
    return ports.clock.nowMs();
  }

  private long startDeadlineMs() {
    return startedMs + ports.settings.startTimeoutMs();
  }

  /** Begins to claim the key. */
  synchronized void start() {
    claimAgainOrGiveUp(nowMs());
  }

  private void claim() {
    state = State.CLAIMING;
    rounds++;
    round =
        new ClaimRound(id + '#' + rounds, ports.voters(), ports.settings.voteValidMs(), nowMs());
    byClaimId.put(round.claimId(), this);
    ask();
  }

  private void ask() {
    long nowMs = nowMs();
    VoterList list = ports.voters();
    if (list.revision() != round.list().revision()) {
      round.restart(list, nowMs);
    }
    messages.ask(key, round, nowMs);
  }

  /** Acts as time passes. */
  synchronized void tick() {
    long nowMs = nowMs();
    switch (state) {
      case CLAIMING, CONFIRMING -> tickClaim(nowMs);
      case BACKING_OFF -> {
        if (nowMs >= resumeMs) {
          claimAgainOrGiveUp(nowMs);
        }
      }
      case WAITING_FOR_SLOT -> {
        if (nowMs >= startDeadlineMs()) {
          ports.slots.withdraw(slotAttempt.orElse(""));
        }
      }
      case FOLLOWING -> tickFollow(nowMs);
      default -> {
        // Nothing is due.
      }
    }
  }

  private void tickClaim(long nowMs) {
    boolean reachTimeout = nowMs - round.startedMs() >= ports.settings.reachTimeoutMs();
    Optional<ClaimRound.Holder> other = round.holder();
    if (state == State.CLAIMING && reachTimeout && other.isPresent()) {
      follow(other.get());
    } else if (reachTimeout && round.isOutOfReach() && !round.list().voters().isEmpty()) {
      unknown("no majority of the voters is in reach: " + round.summary());
    } else if (nowMs >= claimDeadlineMs()) {
      unknown("no majority of the voters accepted the claim in time: " + round.summary());
    } else if (nowMs - round.lastAskMs() >= ports.settings.askPeriodMs()) {
      ask();
    }
  }

  private long claimDeadlineMs() {
    long confirmMs = round.startedMs() + ports.settings.voteValidMs();
    return neverDispatches ? Math.max(confirmMs, startDeadlineMs()) : startDeadlineMs();
  }

  private void tickFollow(long nowMs) {
    if (nowMs - holderHeardMs >= ports.settings.reachTimeoutMs()) {
      unknown("VM " + holder.vm() + ", which holds the key, is out of reach");
    } else if (nowMs - holderAskedMs >= ports.settings.askPeriodMs()) {
      askHolder(nowMs);
    }
  }

  /** Takes in a vote. */
  synchronized void onVote(String vm, long incarnation, ClaimVote vote) {
    boolean asked = state == State.CLAIMING || state == State.CONFIRMING;
    if (!asked || !vote.getAttemptId().equals(round.claimId())) {
      return;
    }
    round.add(vm, incarnation, vote);
    if (round.hasMajority(nowMs())) {
      onMajority();
    } else if (state == State.CLAIMING && round.isBlocked()) {
      round.holder().ifPresent(this::follow);
    }
  }

  private void onMajority() {
    if (state == State.CONFIRMING) {
      Runnable action = whenConfirmed;
      whenConfirmed = null;
      action.run();
    } else if (round.isNotRunOnly()) {
      notRun(NotRunReason.OVERLOADED, retryAfterMs());
    } else {
      acquireSlot();
    }
  }

  private Optional<Long> retryAfterMs() {
    return Optional.of(blockMs());
  }

  private long blockMs() {
    return ports.settings.blockMs();
  }

  private void acquireSlot() {
    state = State.WAITING_FOR_SLOT;
    endpointTries++;
    String attempt = call.requestId() + "-" + endpointTries;
    slotAttempt = Optional.of(attempt);
    ports.slots.acquire(slotAsk(attempt), () -> {}).thenAccept(answer -> onSlot(attempt, answer));
  }

  private LeaseRequest slotAsk(String attempt) {
    return new LeaseRequest(
        attempt,
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

  private synchronized void onSlot(String attempt, LeaseResponse answer) {
    if (state != State.WAITING_FOR_SLOT || !slotAttempt.equals(Optional.of(attempt))) {
      if (answer instanceof LeaseResponse.Granted) {
        ports.slots.release(attempt, SlotUse.of(SlotResult.UNUSED));
      }
      return;
    }
    if (answer instanceof LeaseResponse.Granted granted) {
      confirmThen(() -> dispatch(granted));
      return;
    }
    slotAttempt = Optional.empty();
    LeaseResponse.Refused refused = (LeaseResponse.Refused) answer;
    Optional<Long> after = refused.retryAfterMs().map(ms -> Math.max(ms, blockMs()));
    neverDispatches = true;
    confirmThen(() -> notRun(refused.reason(), after));
  }

  /** Runs an action while a majority of valid votes stands; asks for new votes before if needed. */
  private void confirmThen(Runnable action) {
    long nowMs = nowMs();
    if (round.hasMajority(nowMs)) {
      action.run();
      return;
    }
    state = State.CONFIRMING;
    whenConfirmed = action;
    round.restart(ports.voters(), nowMs);
    ask();
  }

  private void dispatch(LeaseResponse.Granted granted) {
    Optional<Endpoint> endpoint = ports.endpoint(granted.endpoint());
    if (round.isNotRunOnly() || endpoint.isEmpty()) {
      freeSlot(SlotResult.UNUSED);
      notRun(NotRunReason.NO_ENDPOINT, retryAfterMs());
      return;
    }
    state = State.SENDING;
    EventLog.event("call-dispatch")
        .with("requestId", call.requestId())
        .with("claim", round.claimId())
        .with("endpoint", granted.endpoint())
        .with("votes", round.summary())
        .info();
    ports.sender.send(
        endpoint.get(),
        call,
        slotAttempt.orElse(id),
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
    permissionExpired = !may;
    return may;
  }

  private synchronized void onSent(String endpoint, SendResult sent) {
    if (sent instanceof SendResult.Answered answered) {
      freeSlot(SlotResult.COMPLETED);
      finish(CallResult.answered(answered.answer()), true);
    } else if (sent instanceof SendResult.MaybeSent maybeSent) {
      freeSlot(SlotResult.BROKEN);
      finish(CallResult.unknown(maybeSent.reason()), true);
    } else {
      onNotSent(endpoint);
    }
  }

  private void onNotSent(String endpoint) {
    freeSlot(permissionExpired ? SlotResult.UNUSED : SlotResult.UNREACHABLE);
    if (!permissionExpired) {
      excluded.add(endpoint);
    }
    if (endpointTries < MAX_ENDPOINT_TRIES && nowMs() < startDeadlineMs()) {
      acquireSlot();
      return;
    }
    neverDispatches = true;
    confirmThen(() -> notRun(NotRunReason.NO_ENDPOINT, retryAfterMs()));
  }

  private void freeSlot(SlotResult how) {
    slotAttempt.ifPresent(attempt -> ports.slots.release(attempt, SlotUse.of(how)));
    slotAttempt = Optional.empty();
  }

  private void follow(ClaimRound.Holder other) {
    releaseRound(0);
    state = State.FOLLOWING;
    holder = other;
    holderHeardMs = nowMs();
    EventLog.event("call-follow")
        .with("requestId", call.requestId())
        .with("claim", round.claimId())
        .with("holder", other.attemptId())
        .info();
    askHolder(nowMs());
  }

  private void askHolder(long nowMs) {
    holderAskedMs = nowMs;
    messages.askHolder(holder, key, id);
  }

  /** Takes in what the holder of the key says. */
  synchronized void onOutcome(OutcomeReply reply) {
    if (state != State.FOLLOWING) {
      return;
    }
    switch (reply.getKind()) {
      case RUNNING -> holderHeardMs = nowMs();
      case NOT_RUN -> backOff();
      default -> finish(OutcomeMemory.result(reply, 0), false);
    }
  }

  private void backOff() {
    state = State.BACKING_OFF;
    int periodMs = (int) ports.settings.askPeriodMs();
    resumeMs = nowMs() + 1 + ports.random.nextInt(periodMs);
  }

  private void claimAgainOrGiveUp(long nowMs) {
    if (nowMs < startDeadlineMs()) {
      claim();
    } else {
      finish(CallResult.unknown("the call did not get the key in time"), false);
    }
  }

  /** Tells a waiting VM that this attempt runs, and later what became of it. */
  synchronized boolean addWaiter(String vm, String attemptId) {
    boolean active = state != State.DONE && state != State.FOLLOWING && state != State.BACKING_OFF;
    if (active) {
      waiters.put(attemptId, vm);
    }
    return active;
  }

  private void unknown(String reason) {
    boolean held = state == State.CLAIMING || state == State.CONFIRMING;
    if (held) {
      freeSlot(SlotResult.UNUSED);
      releaseRound(0);
    }
    finish(CallResult.unknown(reason), false);
  }

  private void notRun(NotRunReason reason, Optional<Long> after) {
    CallResult notRun = CallResult.notRun(reason, after);
    state = State.DONE;
    result.complete(notRun);
    releaseRound(blockMs());
    log(notRun);
  }

  /** Gives the key back; this claim never leads to a dispatch. */
  private void releaseRound(long blockMs) {
    CallResult notRun = CallResult.notRun(NotRunReason.OVERLOADED, Optional.empty());
    tellWaiters(outcomes.put(key, round.claimId(), notRun));
    byClaimId.remove(round.claimId());
    messages.release(round.list(), key, round.claimId(), blockMs);
  }

  private void finish(CallResult outcome, boolean dispatched) {
    state = State.DONE;
    if (dispatched) {
      tellWaiters(outcomes.put(key, round.claimId(), outcome));
      byClaimId.remove(round.claimId());
    }
    result.complete(outcome);
    log(outcome);
  }

  private void tellWaiters(OutcomeReply reply) {
    waiters.forEach((attemptId, vm) -> messages.tell(vm, attemptId, reply));
    waiters.clear();
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
