package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.dispatch.QueueEntry.Requester;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.HeldSlot;
import org.zinniaspan.peer.proto.SlotAcceptance;
import org.zinniaspan.peer.proto.SlotGrant;
import org.zinniaspan.peer.proto.SlotReceipt;
import org.zinniaspan.peer.proto.SlotRefusal;
import org.zinniaspan.peer.proto.SlotRegistration;
import org.zinniaspan.peer.proto.SlotRelease;
import org.zinniaspan.peer.proto.SlotRequest;
import org.zinniaspan.request.NotRunReason;

/**
 * Lease requests of one gateway for one pool.
 *
 * <p>Sends each request to the pool's dispatcher until it is answered. Grants slots from the
 * gateway's own share of the pool while the dispatcher is unreachable.
 */
final class GatewayShard {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final long LOCAL_GRANT_VALID_MS = 500;

  private final Pool pool;
  private final DispatchContext context;
  private final DispatcherSession session = new DispatcherSession();
  private final Map<String, LeaseRequestState> waiting = new LinkedHashMap<>();
  private final Map<String, LeaseRequestState> running = new LinkedHashMap<>();
  private final PendingReleases releases = new PendingReleases();
  private final PoolQueue localQueue;
  private DeferredActions deferred = new DeferredActions();
  private boolean fallback;
  private long nextSequence;
  private long now;

  GatewayShard(Pool pool, DispatchContext context) {
    this.pool = pool;
    this.context = context;
    SlotSource localShare =
        new FallbackSlotSource(
            context, pool, () -> context.membership().live().size(), this::slotsInUse);
    this.localQueue = new PoolQueue(localShare, context.limits(), context::weight);
    this.nextSequence = context.clock().nowMs();
  }

  private int slotsInUse() {
    long grantedByDispatcher =
        running.keySet().stream().filter(id -> localQueue.find(id).isEmpty()).count();
    return (int) grantedByDispatcher + localQueue.held();
  }

  /** Adds a request; the returned actions complete its response or send it to the dispatcher. */
  synchronized DeferredActions acquire(
      LeaseRequest request, Runnable onPreempt, CompletableFuture<LeaseResponse> response) {
    beginEvent();
    LeaseRequestState entry = new LeaseRequestState(request, ++nextSequence, onPreempt);
    entry.response().thenAccept(response::complete);
    waiting.put(request.attemptId(), entry);
    sendRequest(entry);
    if (fallback) {
      applyDecisions(localQueue.offer(newQueueEntry(entry), now));
    }
    return endEvent();
  }

  /** Withdraws a waiting request, whose response is then a refusal; ignores other attempts. */
  synchronized DeferredActions withdraw(String attemptId) {
    beginEvent();
    LeaseRequestState entry = waiting.get(attemptId);
    if (entry != null) {
      refuse(entry, NotRunReason.CALLER_LEFT, 0);
      sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
    }
    return endEvent();
  }

  /** Releases the slot of an attempt; ignores attempts that hold none. */
  synchronized DeferredActions release(String attemptId, SlotUse use) {
    beginEvent();
    LeaseRequestState entry = running.remove(attemptId);
    if (entry != null) {
      recordUse(entry, use);
      localQueue.find(attemptId).ifPresent(queued -> localQueue.end(queued, use, now));
      sendRelease(entry, use);
      serveLocally();
    }
    return endEvent();
  }

  /**
   * Handles a message from a dispatcher; a grant from a VM that is not the pool's owner is released
   * as unused.
   */
  synchronized DeferredActions handle(Envelope message) {
    beginEvent();
    if (message.getFromVm().equals(session.owner())) {
      dispatch(message);
    } else if (message.hasSlotGrant()) {
      returnUnusedGrant(message.getFromVm(), message.getSlotGrant());
    }
    return endEvent();
  }

  /**
   * Resends unanswered messages, refuses requests past their deadline, and serves the local queue
   * if the dispatcher is unreachable.
   */
  synchronized DeferredActions tick() {
    beginEvent();
    refuseExpired();
    waiting.values().stream().filter(entry -> entry.isSendDue(now)).forEach(this::sendRequest);
    if (releases.resend(now, deferred)) {
      session.recordReplyDue(now);
    }
    boolean idle = waiting.isEmpty() && running.isEmpty() && !fallback;
    if (session.isRegistrationDue(now) && !idle) {
      sendRegistration();
    }
    if (session.isUnreachable(now) && !fallback) {
      startFallback();
    }
    serveLocally();
    return endEvent();
  }

  /** Invalidates the registration and all outstanding grants after a pause. */
  synchronized DeferredActions resetAfterPause() {
    beginEvent();
    session.reset();
    waiting.values().forEach(LeaseRequestState::startRound);
    return endEvent();
  }

  synchronized boolean isFallback() {
    return fallback;
  }

  private void beginEvent() {
    now = context.clock().nowMs();
    if (session.updateOwner(context.ownerOf(pool))) {
      releases.retainOwner(session.owner());
      waiting.values().forEach(LeaseRequestState::resendNow);
    }
  }

  private DeferredActions endEvent() {
    DeferredActions result = deferred;
    deferred = new DeferredActions();
    return result;
  }

  private void dispatch(Envelope message) {
    switch (message.getBodyCase()) {
      case SLOT_GRANT -> onGrant(message.getFromVm(), message.getSlotGrant());
      case SLOT_REFUSAL -> onRefusal(message.getSlotRefusal());
      case SLOT_RECEIPT -> onReceipt(message.getSlotReceipt());
      case SLOT_PREEMPTION -> onPreemption(message.getSlotPreemption().getAttemptId());
      case SLOT_REGISTRATION_CALL -> {
        if (recordMessage(message.getSlotRegistrationCall().getDispatcherIncarnation())) {
          sendRegistration();
        }
      }
      default -> {
        // Gateways handle no other kinds of message.
      }
    }
  }

  private boolean recordMessage(long incarnation) {
    boolean current = session.recordMessage(incarnation);
    if (current && fallback) {
      endFallback();
    }
    return current;
  }

  private void onGrant(String vm, SlotGrant grant) {
    LeaseRequestState entry = waiting.get(grant.getAttemptId());
    boolean current = recordMessage(grant.getDispatcherIncarnation());
    if (entry != null && current && grant.getRound() == entry.round()) {
      holdSlot(entry, grant.getEndpoint(), now + grant.getValidForMs());
      sendAcceptance(vm, grant);
      return;
    }
    LeaseRequestState held = running.get(grant.getAttemptId());
    if (held != null && held.endpoint().equals(Optional.of(grant.getEndpoint()))) {
      sendAcceptance(vm, grant);
    } else if (held != null) {
      sendRegistration();
    } else if (entry == null) {
      returnUnusedGrant(vm, grant);
    }
  }

  private void sendAcceptance(String vm, SlotGrant grant) {
    SlotAcceptance acceptance =
        SlotAcceptance.newBuilder()
            .setAttemptId(grant.getAttemptId())
            .setPool(grant.getPool())
            .build();
    deferred.addMessage(vm, Envelope.newBuilder().setSlotAcceptance(acceptance));
  }

  private void returnUnusedGrant(String vm, SlotGrant grant) {
    SlotRelease release =
        SlotRelease.newBuilder()
            .setAttemptId(grant.getAttemptId())
            .setPool(grant.getPool())
            .setEndpoint(grant.getEndpoint())
            .setResult(SlotResult.UNUSED.name())
            .build();
    deferred.addMessage(vm, Envelope.newBuilder().setSlotRelease(release));
  }

  private void onRefusal(SlotRefusal refusal) {
    recordMessage(session.incarnation());
    LeaseRequestState entry = waiting.get(refusal.getAttemptId());
    if (entry != null) {
      refuse(entry, NotRunReason.valueOf(refusal.getReason()), refusal.getRetryAfterMs());
    }
  }

  private void onReceipt(SlotReceipt receipt) {
    boolean current = recordMessage(receipt.getDispatcherIncarnation());
    if (receipt.getKind() == SlotReceipt.Kind.RELEASED) {
      releases.confirm(receipt.getAttemptId());
    } else if (receipt.getKind() == SlotReceipt.Kind.REGISTERED && current) {
      session.registrationConfirmed();
    }
  }

  private void onPreemption(String attemptId) {
    LeaseRequestState entry = running.get(attemptId);
    if (entry != null) {
      deferred.addCallback(entry.takePreemptCallback());
    }
  }

  private void holdSlot(LeaseRequestState entry, String endpoint, long expiresAtMs) {
    waiting.remove(entry.attemptId());
    entry.hold(endpoint);
    running.put(entry.attemptId(), entry);
    deferred.addCallback(
        () -> entry.response().complete(new LeaseResponse.Granted(endpoint, expiresAtMs)));
  }

  private void refuse(LeaseRequestState entry, NotRunReason reason, long retryAfterMs) {
    waiting.remove(entry.attemptId());
    localQueue.remove(entry.attemptId());
    Optional<Long> retry = retryAfterMs == 0 ? Optional.empty() : Optional.of(retryAfterMs);
    deferred.addCallback(() -> entry.response().complete(new LeaseResponse.Refused(reason, retry)));
  }

  private void refuseExpired() {
    for (LeaseRequestState entry : new ArrayList<>(waiting.values())) {
      if (now >= entry.request().deadlineMs()) {
        refuse(entry, NotRunReason.OVERLOADED, RETRY_AFTER_MS);
        sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
      }
    }
  }

  private void sendRequest(LeaseRequestState entry) {
    entry.recordSent(now);
    session.recordReplyDue(now);
    deferred.addMessage(
        session.owner(), Envelope.newBuilder().setSlotRequest(requestMessage(entry)));
  }

  private SlotRequest requestMessage(LeaseRequestState entry) {
    return SlotMessages.encodeRequest(entry.request(), now)
        .setRound(entry.round())
        .setSequence(entry.sequence())
        .setDispatcherIncarnation(session.incarnation())
        .build();
  }

  private void sendRelease(LeaseRequestState entry, SlotUse use) {
    session.recordReplyDue(now);
    SlotRelease release =
        SlotMessages.encodeRelease(entry.request(), entry.endpoint().orElse(""), use);
    releases.send(session.owner(), release, now, deferred);
  }

  private void sendRegistration() {
    session.recordRegistrationSent(now);
    session.recordReplyDue(now);
    SlotRegistration.Builder registration =
        SlotRegistration.newBuilder()
            .setPool(pool.id())
            .setDispatcherIncarnation(session.incarnation())
            .setSequence(++nextSequence);
    waiting.values().forEach(entry -> registration.addWaiting(requestMessage(entry)));
    for (LeaseRequestState entry : running.values()) {
      SlotRequest request = requestMessage(entry).toBuilder().clearPrefixDigests().build();
      registration.addRunning(
          HeldSlot.newBuilder().setRequest(request).setEndpoint(entry.endpoint().get()));
    }
    deferred.addMessage(session.owner(), Envelope.newBuilder().setSlotRegistration(registration));
  }

  private void recordUse(LeaseRequestState entry, SlotUse use) {
    if (!session.owner().equals(context.membership().self().vm())) {
      context.table().recordUse(entry.endpoint().get(), use);
    }
  }

  private void startFallback() {
    fallback = true;
    session.clearRegistration();
    // Queue all requests before the first grant, so that their tiers decide the order.
    localQueue.setGrantsEnabled(false);
    for (LeaseRequestState entry : new ArrayList<>(waiting.values())) {
      applyDecisions(localQueue.offer(newQueueEntry(entry), now));
    }
    localQueue.setGrantsEnabled(true);
  }

  private void endFallback() {
    fallback = false;
    waiting.keySet().forEach(localQueue::remove);
    session.clearRegistration();
  }

  private void serveLocally() {
    if (fallback) {
      applyDecisions(localQueue.serve(now));
    }
  }

  private QueueEntry newQueueEntry(LeaseRequestState entry) {
    Requester self =
        new Requester(
            context.membership().self().vm(),
            context.membership().self().incarnation(),
            entry.sequence());
    return new QueueEntry(entry.request(), self, entry.round());
  }

  private void applyDecisions(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      QueueEntry queued = decision.entry();
      LeaseRequestState entry = waiting.get(queued.attemptId());
      if (decision instanceof SlotDecision.Preempt) {
        context.listener().preempted(decidedRequest(queued));
        onPreemption(queued.attemptId());
      } else if (decision instanceof SlotDecision.Refuse refuse && entry != null) {
        context.listener().refused(decidedRequest(queued), refuse.reason(), refuse.retryAfterMs());
        refuse(entry, refuse.reason(), refuse.retryAfterMs());
        sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
      } else if (decision instanceof SlotDecision.Grant && entry != null) {
        String endpoint = queued.endpoint().get();
        context.listener().granted(decidedRequest(queued), endpoint);
        holdSlot(entry, endpoint, now + LOCAL_GRANT_VALID_MS);
      }
    }
  }

  private SlotDecisionListener.DecidedRequest decidedRequest(QueueEntry entry) {
    long waitedMs = now - entry.request().arrivedMs();
    String vm = context.membership().self().vm();
    return new SlotDecisionListener.DecidedRequest(
        entry.request(), vm, localQueue.waiting(), waitedMs);
  }
}
