package org.zinniaspan.dispatch;

import java.util.Optional;

/** What a gateway knows of its contact with one pool's dispatcher. */
final class DispatcherSession {

  /** Milliseconds without an answer after which the dispatcher counts as out of reach. */
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

  /** Returns the incarnation of the dispatcher, zero while not known. */
  long incarnation() {
    return incarnation;
  }

  /** Takes note of the current owner, and returns whether it changed. */
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

  /** Takes note of a message of the dispatcher, and returns whether it is not from an old one. */
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

  /** Takes note of a message to which an answer is due. */
  void recordReplyDue(long nowMs) {
    if (unansweredSinceMs.isEmpty()) {
      unansweredSinceMs = Optional.of(nowMs);
    }
  }

  /** Starts waiting for answers anew, after a pause. */
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
