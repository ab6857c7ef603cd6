package org.zinniaspan.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.SlotRelease;

/**
 * Releases that a dispatcher has not confirmed yet; each is resent until it is confirmed or given
 * up.
 */
final class PendingReleases {

  private static final long RESEND_MS = 200;
  private static final long GIVE_UP_AFTER_MS = 10_000;

  private record Pending(String vm, SlotRelease release, long firstSentMs, long nextSendMs) {}

  private final Map<String, Pending> pending = new LinkedHashMap<>();

  void send(String vm, SlotRelease release, long nowMs, DeferredActions actions) {
    pending.put(release.getAttemptId(), new Pending(vm, release, nowMs, nowMs + RESEND_MS));
    actions.addMessage(vm, Envelope.newBuilder().setSlotRelease(release));
  }

  void confirm(String attemptId) {
    pending.remove(attemptId);
  }

  /**
   * Removes releases to other dispatchers; those request a registration if they own the pool again.
   */
  void retainOwner(String owner) {
    pending.values().removeIf(unconfirmed -> !unconfirmed.vm().equals(owner));
  }

  /** Resends the releases that are due and returns whether there were any. */
  boolean resend(long nowMs, DeferredActions actions) {
    pending.values().removeIf(unconfirmed -> nowMs - unconfirmed.firstSentMs() >= GIVE_UP_AFTER_MS);
    boolean any = false;
    for (Map.Entry<String, Pending> entry : pending.entrySet()) {
      Pending unconfirmed = entry.getValue();
      if (nowMs >= unconfirmed.nextSendMs()) {
        any = true;
        entry.setValue(
            new Pending(
                unconfirmed.vm(),
                unconfirmed.release(),
                unconfirmed.firstSentMs(),
                nowMs + RESEND_MS));
        actions.addMessage(
            unconfirmed.vm(), Envelope.newBuilder().setSlotRelease(unconfirmed.release()));
      }
    }
    return any;
  }
}
