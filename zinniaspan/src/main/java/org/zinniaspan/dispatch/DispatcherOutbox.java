package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.SlotGrant;
import org.zinniaspan.peer.proto.SlotPreemption;
import org.zinniaspan.peer.proto.SlotReceipt;
import org.zinniaspan.peer.proto.SlotRefusal;
import org.zinniaspan.peer.proto.SlotRegistrationCall;

/**
 * Collects the messages of one pool's dispatcher, and records when grants and preemptions were last
 * sent, since those may be lost and are resent.
 *
 * <p>Guarded by the lock of its shard.
 */
final class DispatcherOutbox {

  /** Milliseconds from the receipt of a grant during which work may start on it. */
  static final long GRANT_VALID_MS = 500;

  private static final long RESEND_MS = 200;

  private final Pool pool;
  private final Map<String, Long> lastSentMs = new HashMap<>();
  private List<OutgoingMessage> messages = new ArrayList<>();
  private long incarnation;

  DispatcherOutbox(Pool pool) {
    this.pool = pool;
  }

  /** Starts a new incarnation, which all later messages carry, and clears the send times. */
  void startIncarnation(long value) {
    incarnation = value;
    lastSentMs.clear();
  }

  /** Returns the messages collected since the last call. */
  List<OutgoingMessage> drain() {
    List<OutgoingMessage> drained = messages;
    messages = new ArrayList<>();
    return drained;
  }

  /** Returns whether a grant or preemption of the attempt was sent long enough ago to resend it. */
  boolean isResendDue(String attemptId, long now) {
    return now - lastSentMs.getOrDefault(attemptId, now) >= RESEND_MS;
  }

  /** Removes the send times of attempts that the predicate rejects. */
  void retainAttempts(Predicate<String> known) {
    lastSentMs.keySet().removeIf(known.negate());
  }

  void sendGrant(QueueEntry entry, long now) {
    lastSentMs.put(entry.attemptId(), now);
    SlotGrant grant =
        SlotGrant.newBuilder()
            .setAttemptId(entry.attemptId())
            .setPool(pool.id())
            .setEndpoint(entry.endpoint().get())
            .setDispatcherIncarnation(incarnation)
            .setValidForMs(GRANT_VALID_MS)
            .setRound(entry.round())
            .build();
    send(entry.requester().vm(), Envelope.newBuilder().setSlotGrant(grant));
  }

  /** Sends a refusal and returns it, so that it can be resent. */
  SlotRefusal sendRefusal(SlotDecision.Refuse refuse) {
    SlotRefusal refusal =
        SlotRefusal.newBuilder()
            .setAttemptId(refuse.entry().attemptId())
            .setPool(pool.id())
            .setReason(refuse.reason().name())
            .setRetryAfterMs(refuse.retryAfterMs())
            .build();
    resendRefusal(refuse.entry().requester().vm(), refusal);
    return refusal;
  }

  void resendRefusal(String vm, SlotRefusal refusal) {
    send(vm, Envelope.newBuilder().setSlotRefusal(refusal));
  }

  void sendPreemption(QueueEntry entry, long now) {
    lastSentMs.put(entry.attemptId(), now);
    SlotPreemption preemption =
        SlotPreemption.newBuilder().setAttemptId(entry.attemptId()).setPool(pool.id()).build();
    send(entry.requester().vm(), Envelope.newBuilder().setSlotPreemption(preemption));
  }

  void sendReceipt(String vm, SlotReceipt.Kind kind, String attemptId) {
    SlotReceipt receipt =
        SlotReceipt.newBuilder()
            .setKind(kind)
            .setPool(pool.id())
            .setAttemptId(attemptId)
            .setDispatcherIncarnation(incarnation)
            .build();
    send(vm, Envelope.newBuilder().setSlotReceipt(receipt));
  }

  /** Requests that a gateway register its waiting requests and held slots. */
  void requestRegistration(String vm) {
    SlotRegistrationCall call =
        SlotRegistrationCall.newBuilder()
            .setPool(pool.id())
            .setDispatcherIncarnation(incarnation)
            .build();
    send(vm, Envelope.newBuilder().setSlotRegistrationCall(call));
  }

  private void send(String vm, Envelope.Builder message) {
    messages.add(new OutgoingMessage(vm, message));
  }
}
