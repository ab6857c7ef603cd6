package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.zinniaspan.dispatch.QueuedAsk.Requester;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.HeldSlot;
import org.zinniaspan.peer.proto.SlotReceipt;
import org.zinniaspan.peer.proto.SlotRegistration;
import org.zinniaspan.peer.proto.SlotRelease;
import org.zinniaspan.peer.proto.SlotRequest;

/**
 * One pool's slots at the process that owns them; does nothing while another process does.
 *
 * <p>Each period of ownership, and each time after a pause, is a new incarnation of the dispatcher.
 * It first asks all live gateways to register what they know, and lends nothing until they have, or
 * until {@link #REBUILD_MS} have passed.
 */
final class DispatcherShard {

  /** Longest time, in milliseconds, for which a new dispatcher waits for registrations. */
  static final long REBUILD_MS = 500;

  /** Silence, in milliseconds, after which a gateway that is not live has ended. */
  static final long GONE_AFTER_MS = 2_000;

  private static final long PROBE_PERIOD_MS = 1_000;
  private static final long CALL_RESEND_MS = 100;

  private final Pool pool;
  private final DispatchContext context;
  private final PoolQueue queue;
  private final DispatcherOutbox outbox;
  private final EndedAttempts ended = new EndedAttempts();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Long> heardMs = new HashMap<>();
  private final Map<String, Long> registeredSequence = new HashMap<>();
  private final Set<String> missing = new HashSet<>();
  private boolean active;
  private long incarnation;
  private long rebuildUntilMs;
  private long calledMs;
  private long probedMs;
  private long now;

  DispatcherShard(Pool pool, DispatchContext context) {
    this.pool = pool;
    this.context = context;
    this.outbox = new DispatcherOutbox(pool);
    SlotSource source =
        new TableSlotSource(pool, context.table(), context.chooser(), context.clock());
    this.queue = new PoolQueue(source, context.limits(), context::weight);
  }

  /** Forgets all that was known before a pause. */
  synchronized List<Outgoing> renew() {
    now = context.clock().nowMs();
    deactivate();
    settleRole();
    return outbox.drain();
  }

  /** Handles a message of a gateway. */
  synchronized List<Outgoing> handle(Envelope message) {
    now = context.clock().nowMs();
    settleRole();
    if (active && isCurrent(message)) {
      dispatch(message);
    }
    return outbox.drain();
  }

  /** Sends again what got no answer, and serves the queue. */
  synchronized List<Outgoing> tick() {
    now = context.clock().nowMs();
    settleRole();
    if (active) {
      forgetDeadGateways();
      continueRebuild();
      decide(queue.serve(now));
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

  private void settleRole() {
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
    outbox.begin(incarnation);
    rebuildUntilMs = now + REBUILD_MS;
    missing.addAll(liveVms());
    queue.setServing(false);
    callMissing();
  }

  private void deactivate() {
    active = false;
    queue.entries().forEach(entry -> queue.remove(entry.attemptId()));
    ended.clear();
    missing.clear();
    registeredSequence.clear();
    heardMs.clear();
  }

  private Set<String> liveVms() {
    return context.membership().live().stream().map(Member::vm).collect(Collectors.toSet());
  }

  private void callMissing() {
    calledMs = now;
    missing.forEach(outbox::call);
  }

  private void continueRebuild() {
    missing.retainAll(liveVms());
    if (now >= rebuildUntilMs) {
      missing.clear();
    }
    if (missing.isEmpty()) {
      queue.setServing(true);
    } else if (now - calledMs >= CALL_RESEND_MS) {
      callMissing();
    }
  }

  private void forgetDeadGateways() {
    Set<String> live = liveVms();
    heardMs.forEach(
        (vm, heard) -> {
          if (now - heard < GONE_AFTER_MS) {
            live.add(vm);
          }
        });
    for (QueuedAsk entry : queue.entries()) {
      if (!live.contains(entry.requester().vm())) {
        queue.remove(entry.attemptId());
      }
    }
    heardMs.keySet().retainAll(live);
    registeredSequence.keySet().retainAll(live);
  }

  /** Asks gateways that hold slots in silence, since their process may have been replaced. */
  private void probeSilentGateways() {
    if (now - probedMs < PROBE_PERIOD_MS) {
      return;
    }
    probedMs = now;
    outbox.keepOnly(attemptId -> queue.find(attemptId).isPresent());
    queue.entries().stream()
        .map(entry -> entry.requester().vm())
        .distinct()
        .filter(vm -> now - heardMs.getOrDefault(vm, Long.MIN_VALUE / 2) >= PROBE_PERIOD_MS)
        .forEach(outbox::call);
  }

  private boolean isCurrent(Envelope message) {
    String vm = message.getFromVm();
    long known = incarnations.getOrDefault(vm, Long.MIN_VALUE);
    if (message.getFromIncarnation() > known) {
      incarnations.put(vm, message.getFromIncarnation());
      registeredSequence.remove(vm);
      forgetEarlier(vm, message.getFromIncarnation());
    }
    heardMs.put(vm, now);
    return message.getFromIncarnation() >= known;
  }

  private void forgetEarlier(String vm, long current) {
    for (QueuedAsk entry : queue.entries()) {
      Requester requester = entry.requester();
      if (requester.vm().equals(vm) && requester.incarnation() < current) {
        queue.remove(entry.attemptId());
      }
    }
  }

  private void dispatch(Envelope message) {
    switch (message.getBodyCase()) {
      case SLOT_REQUEST -> {
        callUnregistered(message.getFromVm());
        onRequest(message, message.getSlotRequest());
      }
      case SLOT_RELEASE -> onRelease(message.getFromVm(), message.getSlotRelease());
      case SLOT_ACCEPTANCE ->
          queue.find(message.getSlotAcceptance().getAttemptId()).ifPresent(QueuedAsk::confirm);
      case SLOT_REGISTRATION -> onRegistration(message, message.getSlotRegistration());
      default -> {
        // Not for a dispatcher.
      }
    }
  }

  private void callUnregistered(String vm) {
    if (!registeredSequence.containsKey(vm)) {
      outbox.call(vm);
    }
  }

  private void onRequest(Envelope message, SlotRequest request) {
    String attemptId = request.getAttemptId();
    Optional<QueuedAsk> known = queue.find(attemptId);
    if (known.isPresent()) {
      known.get().renew(request.getRound());
      answerAgain(known.get());
    } else if (ended.contains(attemptId)) {
      ended.refusalOf(attemptId).ifPresent(refusal -> outbox.repeat(message.getFromVm(), refusal));
    } else {
      offer(entry(message, request));
    }
  }

  private void answerAgain(QueuedAsk entry) {
    if (entry.isHeld()) {
      outbox.grant(entry, now);
    } else {
      outbox.receipt(entry.requester().vm(), SlotReceipt.Kind.QUEUED, entry.attemptId());
    }
  }

  private QueuedAsk entry(Envelope message, SlotRequest request) {
    SlotAsk ask = SlotMessages.ask(request, context.configuration().get().rules(), now);
    Requester requester =
        new Requester(message.getFromVm(), message.getFromIncarnation(), request.getSequence());
    return new QueuedAsk(ask, requester, request.getRound());
  }

  private void offer(QueuedAsk entry) {
    decide(queue.offer(entry, now));
    if (!entry.isHeld() && queue.find(entry.attemptId()).isPresent()) {
      context.listener().queued(decided(entry));
      outbox.receipt(entry.requester().vm(), SlotReceipt.Kind.QUEUED, entry.attemptId());
    }
  }

  private void onRelease(String vm, SlotRelease release) {
    String attemptId = release.getAttemptId();
    queue
        .find(attemptId)
        .filter(entry -> entry.requester().vm().equals(vm))
        .ifPresent(entry -> queue.end(entry, SlotMessages.use(release), now));
    ended.released(attemptId);
    outbox.receipt(vm, SlotReceipt.Kind.RELEASED, attemptId);
    decide(queue.serve(now));
  }

  private void onRegistration(Envelope message, SlotRegistration registration) {
    String vm = message.getFromVm();
    if (registration.getDispatcherIncarnation() != incarnation) {
      outbox.call(vm);
      return;
    }
    if (registration.getSequence() > registeredSequence.getOrDefault(vm, Long.MIN_VALUE)) {
      registeredSequence.put(vm, registration.getSequence());
      dropUnlisted(vm, registration);
      registration.getRunningList().forEach(slot -> adopt(message, slot));
      registration.getWaitingList().stream()
          .filter(request -> !ended.contains(request.getAttemptId()))
          .filter(request -> queue.find(request.getAttemptId()).isEmpty())
          .forEach(request -> offer(entry(message, request)));
    }
    missing.remove(vm);
    continueRebuild();
    decide(queue.serve(now));
    outbox.receipt(vm, SlotReceipt.Kind.REGISTERED, "");
  }

  private void dropUnlisted(String vm, SlotRegistration registration) {
    Set<String> listed = new HashSet<>();
    registration.getWaitingList().forEach(request -> listed.add(request.getAttemptId()));
    registration.getRunningList().forEach(slot -> listed.add(slot.getRequest().getAttemptId()));
    for (QueuedAsk entry : queue.entries()) {
      Requester requester = entry.requester();
      boolean older = requester.sequence() < registration.getSequence();
      if (requester.vm().equals(vm) && older && !listed.contains(entry.attemptId())) {
        queue.remove(entry.attemptId());
      }
    }
  }

  private void adopt(Envelope message, HeldSlot slot) {
    String attemptId = slot.getRequest().getAttemptId();
    Optional<QueuedAsk> known = queue.find(attemptId);
    boolean same = known.flatMap(QueuedAsk::endpoint).equals(Optional.of(slot.getEndpoint()));
    if (same) {
      known.get().confirm();
    } else if (!ended.wasReleased(attemptId)) {
      queue.adopt(entry(message, slot.getRequest()), slot.getEndpoint(), now);
    }
  }

  private void decide(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      QueuedAsk entry = decision.entry();
      if (decision instanceof SlotDecision.Grant) {
        context.listener().granted(decided(entry), entry.endpoint().get());
        outbox.grant(entry, now);
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        context.listener().refused(decided(entry), refuse.reason(), refuse.retryAfterMs());
        ended.refused(outbox.refusal(refuse));
      } else {
        context.listener().preempted(decided(entry));
        outbox.preemption(entry, now);
      }
    }
  }

  private SlotListener.Decided decided(QueuedAsk entry) {
    long waitedMs = now - entry.ask().arrivedMs();
    return new SlotListener.Decided(entry.ask(), entry.requester().vm(), queue.waiting(), waitedMs);
  }

  private void resend() {
    for (QueuedAsk entry : queue.entries()) {
      boolean due = outbox.isDue(entry.attemptId(), now);
      if (due && entry.isHeld() && !entry.isConfirmed()) {
        outbox.grant(entry, now);
      } else if (due && entry.isPreempted()) {
        outbox.preemption(entry, now);
      }
    }
  }
}
