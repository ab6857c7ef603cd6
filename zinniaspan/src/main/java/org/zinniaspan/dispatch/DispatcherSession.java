package org.zinniaspan.dispatch;

import java.util.Optional;

/**
 * State of a gateway's session with one pool's dispatcher: its owner, incarnation, registration and
 * outstanding replies. Guarded by the lock of its shard.
 */
final class DispatcherSession {

  /**
   * Milliseconds without a reply to a message that expects one, after which the dispatcher counts
   * as unreachable.
   */
  static final long UNREACHABLE_AFTER_MS = 400;

  private static final long REGISTRATION_RESEND_MS = 100;

  private String owner = "";
  private long incarnation;
  private boolean registrationConfirmed;
  private long nextRegistrationMs = Long.MIN_VALUE;
  private Optional<Long> unansweredSinceMs = Optional.empty();

  String owner() {
    return owner;
  }

  /** Returns the incarnation of the dispatcher, zero while unknown. */
  long incarnation() {
    return incarnation;
  }

  /**
   * Sets the current owner and returns whether it changed; a change clears the incarnation and the
   * registration.
   */
  boolean updateOwner(String vm) {
    if (vm.equals(owner)) {
      return false;
    }
    owner = vm;
    incarnation = 0;
    clearRegistration();
    unansweredSinceMs = Optional.empty();
    return true;
  }

  /**
   * Records a message from the dispatcher and returns whether it is from the current incarnation or
   * a newer one. A newer incarnation requires a new registration.
   */
  boolean recordMessage(long dispatcherIncarnation) {
    if (dispatcherIncarnation < incarnation) {
      return false;
    }
    unansweredSinceMs = Optional.empty();
    if (dispatcherIncarnation > incarnation) {
      incarnation = dispatcherIncarnation;
      clearRegistration();
    }
    return true;
  }

  /** Records that a message was sent to which the dispatcher replies. */
  void recordReplyDue(long nowMs) {
    if (unansweredSinceMs.isEmpty()) {
      unansweredSinceMs = Optional.of(nowMs);
    }
  }

  /** Clears the outstanding replies and the registration after a pause of this process. */
  void reset() {
    unansweredSinceMs = Optional.empty();
    clearRegistration();
  }

  boolean isUnreachable(long nowMs) {
    return unansweredSinceMs.map(since -> nowMs - since >= UNREACHABLE_AFTER_MS).orElse(false);
  }

  void registrationConfirmed() {
    registrationConfirmed = true;
  }

  void clearRegistration() {
    registrationConfirmed = false;
    nextRegistrationMs = Long.MIN_VALUE;
  }

  boolean isRegistrationDue(long nowMs) {
    return !registrationConfirmed && nowMs >= nextRegistrationMs;
  }

  void recordRegistrationSent(long nowMs) {
    nextRegistrationMs = nowMs + REGISTRATION_RESEND_MS;
  }
}
