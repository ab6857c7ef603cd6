package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.dispatch.QueuedAsk.Requester;
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
 * One gateway's asks for slots of one pool: sends them to the pool's dispatcher until each is
 * answered, and lends from its own share while no dispatcher is in reach.
 */
final class GatewayShard {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final long LOCAL_GRANT_VALID_MS = 500;

  private final Pool pool;
  private final DispatchContext context;
  private final Contact contact = new Contact();
  private final Map<String, GatewayAsk> waiting = new LinkedHashMap<>();
  private final Map<String, GatewayAsk> running = new LinkedHashMap<>();
  private final PendingReleases releases = new PendingReleases();
  private final PoolQueue local;
  private Effects effects = new Effects();
  private boolean fallback;
  private long nextSequence;
  private long now;

  GatewayShard(Pool pool, DispatchContext context) {
    this.pool = pool;
    this.context = context;
    SlotSource share =
        new LocalShare(context, pool, () -> context.membership().live().size(), this::slotsInUse);
    this.local = new PoolQueue(share, context.limits(), context::weight);
    this.nextSequence = context.clock().nowMs();
  }

  private int slotsInUse() {
    long lentByDispatcher =
        running.keySet().stream().filter(id -> local.find(id).isEmpty()).count();
    return (int) lentByDispatcher + local.held();
  }

  /** Takes in an ask; the effects answer it, or send it to the dispatcher. */
  synchronized Effects acquire(
      SlotAsk ask, Runnable onPreempt, CompletableFuture<SlotAnswer> answer) {
    begin();
    GatewayAsk entry = new GatewayAsk(ask, ++nextSequence, onPreempt);
    entry.answer().thenAccept(answer::complete);
    waiting.put(ask.attemptId(), entry);
    sendRequest(entry);
    if (fallback) {
      decide(local.offer(queued(entry), now));
    }
    return done();
  }

  /** Withdraws an ask that waits. */
  synchronized Effects withdraw(String attemptId) {
    begin();
    GatewayAsk entry = waiting.get(attemptId);
    if (entry != null) {
      refuse(entry, NotRunReason.CALLER_LEFT, 0);
      sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
    }
    return done();
  }

  /** Gives a slot back. */
  synchronized Effects release(String attemptId, SlotUse use) {
    begin();
    GatewayAsk entry = running.remove(attemptId);
    if (entry != null) {
      observe(entry, use);
      local.find(attemptId).ifPresent(queued -> local.end(queued, use, now));
      sendRelease(entry, use);
      serveLocally();
    }
    return done();
  }

  /** Handles a message of a dispatcher. */
  synchronized Effects handle(Envelope message) {
    begin();
    if (message.getFromVm().equals(contact.owner())) {
      dispatch(message);
    } else if (message.hasSlotGrant()) {
      giveBack(message.getFromVm(), message.getSlotGrant());
    }
    return done();
  }

  /** Sends again what got no answer, and refuses what has waited for too long. */
  synchronized Effects tick() {
    begin();
    refuseExpired();
    waiting.values().stream().filter(entry -> entry.isSendDue(now)).forEach(this::sendRequest);
    if (releases.resend(now, effects)) {
      contact.asked(now);
    }
    boolean idle = waiting.isEmpty() && running.isEmpty() && !fallback;
    if (contact.isRegistrationDue(now) && !idle) {
      sendRegistration();
    }
    if (contact.isOutOfReach(now) && !fallback) {
      startFallback();
    }
    serveLocally();
    return done();
  }

  /** Makes all that was known before a pause stale. */
  synchronized Effects renew() {
    begin();
    contact.restart();
    waiting.values().forEach(GatewayAsk::renew);
    return done();
  }

  synchronized boolean isFallback() {
    return fallback;
  }

  private void begin() {
    now = context.clock().nowMs();
    if (contact.follow(context.ownerOf(pool))) {
      releases.keepOnly(contact.owner());
      waiting.values().forEach(GatewayAsk::resendAtOnce);
    }
  }

  private Effects done() {
    Effects result = effects;
    effects = new Effects();
    return result;
  }

  private void dispatch(Envelope message) {
    switch (message.getBodyCase()) {
      case SLOT_GRANT -> onGrant(message.getFromVm(), message.getSlotGrant());
      case SLOT_REFUSAL -> onRefusal(message.getSlotRefusal());
      case SLOT_RECEIPT -> onReceipt(message.getSlotReceipt());
      case SLOT_PREEMPTION -> onPreemption(message.getSlotPreemption().getAttemptId());
      case SLOT_REGISTRATION_CALL -> {
        if (heard(message.getSlotRegistrationCall().getDispatcherIncarnation())) {
          sendRegistration();
        }
      }
      default -> {
        // Not for a gateway.
      }
    }
  }

  private boolean heard(long incarnation) {
    boolean current = contact.heard(incarnation);
    if (current && fallback) {
      endFallback();
    }
    return current;
  }

  private void onGrant(String vm, SlotGrant grant) {
    GatewayAsk entry = waiting.get(grant.getAttemptId());
    boolean current = heard(grant.getDispatcherIncarnation());
    if (entry != null && current && grant.getRound() == entry.round()) {
      take(entry, grant.getEndpoint(), now + grant.getValidForMs());
      accept(vm, grant);
      return;
    }
    GatewayAsk held = running.get(grant.getAttemptId());
    if (held != null && held.endpoint().equals(Optional.of(grant.getEndpoint()))) {
      accept(vm, grant);
    } else if (held != null) {
      sendRegistration();
    } else if (entry == null) {
      giveBack(vm, grant);
    }
  }

  private void accept(String vm, SlotGrant grant) {
    SlotAcceptance acceptance =
        SlotAcceptance.newBuilder()
            .setAttemptId(grant.getAttemptId())
            .setPool(grant.getPool())
            .build();
    effects.send(vm, Envelope.newBuilder().setSlotAcceptance(acceptance));
  }

  private void giveBack(String vm, SlotGrant grant) {
    SlotRelease release =
        SlotRelease.newBuilder()
            .setAttemptId(grant.getAttemptId())
            .setPool(grant.getPool())
            .setEndpoint(grant.getEndpoint())
            .setResult(SlotResult.UNUSED.name())
            .build();
    effects.send(vm, Envelope.newBuilder().setSlotRelease(release));
  }

  private void onRefusal(SlotRefusal refusal) {
    heard(contact.incarnation());
    GatewayAsk entry = waiting.get(refusal.getAttemptId());
    if (entry != null) {
      refuse(entry, NotRunReason.valueOf(refusal.getReason()), refusal.getRetryAfterMs());
    }
  }

  private void onReceipt(SlotReceipt receipt) {
    boolean current = heard(receipt.getDispatcherIncarnation());
    if (receipt.getKind() == SlotReceipt.Kind.RELEASED) {
      releases.confirmed(receipt.getAttemptId());
    } else if (receipt.getKind() == SlotReceipt.Kind.REGISTERED && current) {
      contact.registered();
    }
  }

  private void onPreemption(String attemptId) {
    GatewayAsk entry = running.get(attemptId);
    if (entry != null) {
      effects.call(entry.preempt());
    }
  }

  private void take(GatewayAsk entry, String endpoint, long expiresAtMs) {
    waiting.remove(entry.attemptId());
    entry.hold(endpoint);
    running.put(entry.attemptId(), entry);
    effects.call(() -> entry.answer().complete(new SlotAnswer.Granted(endpoint, expiresAtMs)));
  }

  private void refuse(GatewayAsk entry, NotRunReason reason, long retryAfterMs) {
    waiting.remove(entry.attemptId());
    local.remove(entry.attemptId());
    Optional<Long> retry = retryAfterMs == 0 ? Optional.empty() : Optional.of(retryAfterMs);
    effects.call(() -> entry.answer().complete(new SlotAnswer.Refused(reason, retry)));
  }

  private void refuseExpired() {
    for (GatewayAsk entry : new ArrayList<>(waiting.values())) {
      if (now >= entry.ask().deadlineMs()) {
        refuse(entry, NotRunReason.OVERLOADED, RETRY_AFTER_MS);
        sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
      }
    }
  }

  private void sendRequest(GatewayAsk entry) {
    entry.sent(now);
    contact.asked(now);
    effects.send(contact.owner(), Envelope.newBuilder().setSlotRequest(request(entry)));
  }

  private SlotRequest request(GatewayAsk entry) {
    return SlotMessages.request(entry.ask(), now)
        .setRound(entry.round())
        .setSequence(entry.sequence())
        .setDispatcherIncarnation(contact.incarnation())
        .build();
  }

  private void sendRelease(GatewayAsk entry, SlotUse use) {
    contact.asked(now);
    SlotRelease release = SlotMessages.release(entry.ask(), entry.endpoint().orElse(""), use);
    releases.send(contact.owner(), release, now, effects);
  }

  private void sendRegistration() {
    contact.sentRegistration(now);
    contact.asked(now);
    SlotRegistration.Builder registration =
        SlotRegistration.newBuilder()
            .setPool(pool.id())
            .setDispatcherIncarnation(contact.incarnation())
            .setSequence(++nextSequence);
    waiting.values().forEach(entry -> registration.addWaiting(request(entry)));
    for (GatewayAsk entry : running.values()) {
      SlotRequest request = request(entry).toBuilder().clearPrefixDigests().build();
      registration.addRunning(
          HeldSlot.newBuilder().setRequest(request).setEndpoint(entry.endpoint().get()));
    }
    effects.send(contact.owner(), Envelope.newBuilder().setSlotRegistration(registration));
  }

  private void observe(GatewayAsk entry, SlotUse use) {
    if (!contact.owner().equals(context.membership().self().vm())) {
      context.table().recordUse(entry.endpoint().get(), use);
    }
  }

  private void startFallback() {
    fallback = true;
    contact.lostRegistration();
    local.setServing(false);
    for (GatewayAsk entry : new ArrayList<>(waiting.values())) {
      decide(local.offer(queued(entry), now));
    }
    local.setServing(true);
  }

  private void endFallback() {
    fallback = false;
    waiting.keySet().forEach(local::remove);
    contact.lostRegistration();
  }

  private void serveLocally() {
    if (fallback) {
      decide(local.serve(now));
    }
  }

  private QueuedAsk queued(GatewayAsk entry) {
    Requester self =
        new Requester(
            context.membership().self().vm(),
            context.membership().self().incarnation(),
            entry.sequence());
    return new QueuedAsk(entry.ask(), self, entry.round());
  }

  private void decide(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      QueuedAsk queued = decision.entry();
      GatewayAsk entry = waiting.get(queued.attemptId());
      if (decision instanceof SlotDecision.Preempt) {
        context.listener().preempted(decided(queued));
        onPreemption(queued.attemptId());
      } else if (decision instanceof SlotDecision.Refuse refuse && entry != null) {
        context.listener().refused(decided(queued), refuse.reason(), refuse.retryAfterMs());
        refuse(entry, refuse.reason(), refuse.retryAfterMs());
        sendRelease(entry, SlotUse.of(SlotResult.UNUSED));
      } else if (decision instanceof SlotDecision.Grant && entry != null) {
        String endpoint = queued.endpoint().get();
        context.listener().granted(decided(queued), endpoint);
        take(entry, endpoint, now + LOCAL_GRANT_VALID_MS);
      }
    }
  }

  private SlotListener.Decided decided(QueuedAsk entry) {
    long waitedMs = now - entry.ask().arrivedMs();
    String vm = context.membership().self().vm();
    return new SlotListener.Decided(entry.ask(), vm, local.waiting(), waitedMs);
  }
}
