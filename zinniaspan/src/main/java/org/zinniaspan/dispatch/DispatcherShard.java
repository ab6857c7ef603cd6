package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.zinniaspan.dispatch.QueueEntry.Requester;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.HeldSlot;
import org.zinniaspan.peer.proto.SlotReceipt;
import org.zinniaspan.peer.proto.SlotRegistration;
import org.zinniaspan.peer.proto.SlotRelease;
import org.zinniaspan.peer.proto.SlotRequest;

/**
 * Slots of one pool at the process that owns them; inactive while another process owns the pool.
 *
 * <p>Each period of ownership, and each reset after a pause, is a new incarnation of the
 * dispatcher. A new incarnation first requests a registration from each live gateway, and grants no
 * slot until all have registered or {@link #REBUILD_TIMEOUT_MS} have passed. This keeps it from
 * granting slots that gateways still hold.
 */
final class DispatcherShard {

  /** Longest time, in milliseconds, that a new incarnation waits for registrations. */
  static final long REBUILD_TIMEOUT_MS = 500;

  /**
   * Milliseconds without a message after which the requests of a gateway that is not live are
   * removed.
   */
  static final long GATEWAY_GONE_AFTER_MS = 2_000;

  private static final long PROBE_PERIOD_MS = 1_000;
  private static final long REGISTRATION_CALL_RESEND_MS = 100;

  private final Pool pool;
  private final DispatchContext context;
  private final PoolQueue queue;
  private final DispatcherOutbox outbox;
  private final EndedAttempts endedAttempts = new EndedAttempts();
  private final Map<String, Long> gatewayIncarnations = new HashMap<>();
  private final Map<String, Long> lastMessageMs = new HashMap<>();
  private final Map<String, Long> registeredSequence = new HashMap<>();
  private final Set<String> unregisteredVms = new HashSet<>();
  private boolean active;
  private long incarnation;
  private long rebuildUntilMs;
  private long lastRegistrationCallMs;
  private long lastProbeMs;
  private long now;

  DispatcherShard(Pool pool, DispatchContext context) {
    this.pool = pool;
    this.context = context;
    this.outbox = new DispatcherOutbox(pool);
    SlotSource source =
        new TableSlotSource(pool, context.table(), context.chooser(), context.clock());
    this.queue = new PoolQueue(source, context.limits(), context::weight);
  }

  /**
   * Discards all state from before a pause and, if this process owns the pool, starts a new
   * incarnation.
   */
  synchronized List<OutgoingMessage> resetAfterPause() {
    now = context.clock().nowMs();
    deactivate();
    updateOwnership();
    return outbox.drain();
  }

  /** Handles a message from a gateway; ignores those of the gateway's earlier incarnations. */
  synchronized List<OutgoingMessage> handle(Envelope message) {
    now = context.clock().nowMs();
    updateOwnership();
    if (active && recordSender(message)) {
      dispatch(message);
    }
    return outbox.drain();
  }

  /** Removes dead gateways, serves the queue, and resends unconfirmed grants and preemptions. */
  synchronized List<OutgoingMessage> tick() {
    now = context.clock().nowMs();
    updateOwnership();
    if (active) {
      removeDeadGateways();
      updateRebuild();
      applyDecisions(queue.serve(now));
      resend();
      probeSilentGateways();
    }
    return outbox.drain();
  }

  synchronized boolean isActive() {
    return active;
  }

  synchronized int held() {
    return queue.held();
  }

  synchronized Map<Integer, Integer> waitingByTier() {
    return queue.waitingByTier();
  }

  private void updateOwnership() {
    boolean owner = context.isOwner(pool);
    if (owner && !active) {
      activate();
    } else if (!owner && active) {
      deactivate();
    }
  }

  private void activate() {
    active = true;
    incarnation = Math.max(now, incarnation + 1);
    outbox.startIncarnation(incarnation);
    rebuildUntilMs = now + REBUILD_TIMEOUT_MS;
    unregisteredVms.addAll(liveVms());
    queue.setGrantsEnabled(false);
    requestMissingRegistrations();
  }

  private void deactivate() {
    active = false;
    queue.entries().forEach(entry -> queue.remove(entry.attemptId()));
    endedAttempts.clear();
    unregisteredVms.clear();
    registeredSequence.clear();
    lastMessageMs.clear();
  }

  private Set<String> liveVms() {
    return context.membership().live().stream().map(Member::vm).collect(Collectors.toSet());
  }

  private void requestMissingRegistrations() {
    lastRegistrationCallMs = now;
    unregisteredVms.forEach(outbox::requestRegistration);
  }

  /** Enables grants once all live gateways have registered or the rebuild has timed out. */
  private void updateRebuild() {
    unregisteredVms.retainAll(liveVms());
    if (now >= rebuildUntilMs) {
      unregisteredVms.clear();
    }
    if (unregisteredVms.isEmpty()) {
      queue.setGrantsEnabled(true);
    } else if (now - lastRegistrationCallMs >= REGISTRATION_CALL_RESEND_MS) {
      requestMissingRegistrations();
    }
  }

  private void removeDeadGateways() {
    Set<String> live = liveVms();
    lastMessageMs.forEach(
        (vm, messageMs) -> {
          if (now - messageMs < GATEWAY_GONE_AFTER_MS) {
            live.add(vm);
          }
        });
    for (QueueEntry entry : queue.entries()) {
      if (!live.contains(entry.requester().vm())) {
        queue.remove(entry.attemptId());
      }
    }
    lastMessageMs.keySet().retainAll(live);
    registeredSequence.keySet().retainAll(live);
  }

  /**
   * Requests registration from gateways that hold or await slots but send nothing, since their
   * process may have been replaced.
   */
  private void probeSilentGateways() {
    if (now - lastProbeMs < PROBE_PERIOD_MS) {
      return;
    }
    lastProbeMs = now;
    outbox.retainAttempts(attemptId -> queue.find(attemptId).isPresent());
    queue.entries().stream()
        .map(entry -> entry.requester().vm())
        .distinct()
        .filter(vm -> now - lastMessageMs.getOrDefault(vm, Long.MIN_VALUE / 2) >= PROBE_PERIOD_MS)
        .forEach(outbox::requestRegistration);
  }

  /** Records the sender and returns whether the message is from its latest known incarnation. */
  private boolean recordSender(Envelope message) {
    String vm = message.getFromVm();
    long known = gatewayIncarnations.getOrDefault(vm, Long.MIN_VALUE);
    if (message.getFromIncarnation() > known) {
      gatewayIncarnations.put(vm, message.getFromIncarnation());
      registeredSequence.remove(vm);
      removeEarlierIncarnations(vm, message.getFromIncarnation());
    }
    lastMessageMs.put(vm, now);
    return message.getFromIncarnation() >= known;
  }

  private void removeEarlierIncarnations(String vm, long current) {
    for (QueueEntry entry : queue.entries()) {
      Requester requester = entry.requester();
      if (requester.vm().equals(vm) && requester.incarnation() < current) {
        queue.remove(entry.attemptId());
      }
    }
  }

  private void dispatch(Envelope message) {
    switch (message.getBodyCase()) {
      case SLOT_REQUEST -> {
        requestRegistrationIfMissing(message.getFromVm());
        onRequest(message, message.getSlotRequest());
      }
      case SLOT_RELEASE -> onRelease(message.getFromVm(), message.getSlotRelease());
      case SLOT_ACCEPTANCE ->
          queue.find(message.getSlotAcceptance().getAttemptId()).ifPresent(QueueEntry::confirm);
      case SLOT_REGISTRATION -> onRegistration(message, message.getSlotRegistration());
      default -> {
        // Dispatchers handle no other kinds of message.
      }
    }
  }

  private void requestRegistrationIfMissing(String vm) {
    if (!registeredSequence.containsKey(vm)) {
      outbox.requestRegistration(vm);
    }
  }

  private void onRequest(Envelope message, SlotRequest request) {
    String attemptId = request.getAttemptId();
    Optional<QueueEntry> known = queue.find(attemptId);
    if (known.isPresent()) {
      known.get().updateRound(request.getRound());
      resendReply(known.get());
    } else if (endedAttempts.contains(attemptId)) {
      endedAttempts
          .refusalOf(attemptId)
          .ifPresent(refusal -> outbox.resendRefusal(message.getFromVm(), refusal));
    } else {
      offer(newEntry(message, request));
    }
  }

  private void resendReply(QueueEntry entry) {
    if (entry.isHeld()) {
      outbox.sendGrant(entry, now);
    } else {
      outbox.sendReceipt(entry.requester().vm(), SlotReceipt.Kind.QUEUED, entry.attemptId());
    }
  }

  private QueueEntry newEntry(Envelope message, SlotRequest request) {
    LeaseRequest leaseRequest =
        SlotMessages.decodeRequest(request, context.configuration().get().rules(), now);
    Requester requester =
        new Requester(message.getFromVm(), message.getFromIncarnation(), request.getSequence());
    return new QueueEntry(leaseRequest, requester, request.getRound());
  }

  private void offer(QueueEntry entry) {
    applyDecisions(queue.offer(entry, now));
    if (!entry.isHeld() && queue.find(entry.attemptId()).isPresent()) {
      context.listener().queued(decidedRequest(entry));
      outbox.sendReceipt(entry.requester().vm(), SlotReceipt.Kind.QUEUED, entry.attemptId());
    }
  }

  private void onRelease(String vm, SlotRelease release) {
    String attemptId = release.getAttemptId();
    queue
        .find(attemptId)
        .filter(entry -> entry.requester().vm().equals(vm))
        .ifPresent(entry -> queue.end(entry, SlotMessages.decodeUse(release), now));
    endedAttempts.recordRelease(attemptId);
    outbox.sendReceipt(vm, SlotReceipt.Kind.RELEASED, attemptId);
    applyDecisions(queue.serve(now));
  }

  private void onRegistration(Envelope message, SlotRegistration registration) {
    String vm = message.getFromVm();
    if (registration.getDispatcherIncarnation() != incarnation) {
      outbox.requestRegistration(vm);
      return;
    }
    if (registration.getSequence() > registeredSequence.getOrDefault(vm, Long.MIN_VALUE)) {
      registeredSequence.put(vm, registration.getSequence());
      removeUnlisted(vm, registration);
      registration.getRunningList().forEach(slot -> adopt(message, slot));
      registration.getWaitingList().stream()
          .filter(request -> !endedAttempts.contains(request.getAttemptId()))
          .filter(request -> queue.find(request.getAttemptId()).isEmpty())
          .forEach(request -> offer(newEntry(message, request)));
    }
    unregisteredVms.remove(vm);
    updateRebuild();
    applyDecisions(queue.serve(now));
    outbox.sendReceipt(vm, SlotReceipt.Kind.REGISTERED, "");
  }

  /** Removes the gateway's entries that are older than its registration and not listed in it. */
  private void removeUnlisted(String vm, SlotRegistration registration) {
    Set<String> listed = new HashSet<>();
    registration.getWaitingList().forEach(request -> listed.add(request.getAttemptId()));
    registration.getRunningList().forEach(slot -> listed.add(slot.getRequest().getAttemptId()));
    for (QueueEntry entry : queue.entries()) {
      Requester requester = entry.requester();
      boolean older = requester.sequence() < registration.getSequence();
      if (requester.vm().equals(vm) && older && !listed.contains(entry.attemptId())) {
        queue.remove(entry.attemptId());
      }
    }
  }

  private void adopt(Envelope message, HeldSlot slot) {
    String attemptId = slot.getRequest().getAttemptId();
    Optional<QueueEntry> known = queue.find(attemptId);
    boolean same = known.flatMap(QueueEntry::endpoint).equals(Optional.of(slot.getEndpoint()));
    if (same) {
      known.get().confirm();
    } else if (!endedAttempts.wasReleased(attemptId)) {
      queue.adopt(newEntry(message, slot.getRequest()), slot.getEndpoint(), now);
    }
  }

  private void applyDecisions(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      QueueEntry entry = decision.entry();
      if (decision instanceof SlotDecision.Grant) {
        context.listener().granted(decidedRequest(entry), entry.endpoint().get());
        outbox.sendGrant(entry, now);
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        context.listener().refused(decidedRequest(entry), refuse.reason(), refuse.retryAfterMs());
        endedAttempts.recordRefusal(outbox.sendRefusal(refuse));
      } else {
        context.listener().preempted(decidedRequest(entry));
        outbox.sendPreemption(entry, now);
      }
    }
  }

  private SlotDecisionListener.DecidedRequest decidedRequest(QueueEntry entry) {
    long waitedMs = now - entry.request().arrivedMs();
    return new SlotDecisionListener.DecidedRequest(
        entry.request(), entry.requester().vm(), queue.waiting(), waitedMs);
  }

  private void resend() {
    for (QueueEntry entry : queue.entries()) {
      boolean due = outbox.isResendDue(entry.attemptId(), now);
      if (due && entry.isHeld() && !entry.isConfirmed()) {
        outbox.sendGrant(entry, now);
      } else if (due && entry.isPreempted()) {
        outbox.sendPreemption(entry, now);
      }
    }
  }
}
