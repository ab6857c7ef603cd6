package org.zinniaspan.dispatch;

import java.util.Optional;

/** What a gateway knows of its contact with one pool's dispatcher. */
final class Contact {

  /** Milliseconds without an answer after which the dispatcher counts as out of reach. */
  static final long OUT_OF_REACH_MS = 400;

  private static final long REGISTER_RESEND_MS = 100;

  private String owner = "";
  private long incarnation;
  private boolean registered;
  private long nextRegisterMs = Long.MIN_VALUE;
  private Optional<Long> unansweredSinceMs = Optional.empty();

  String owner() {
    return owner;
  }

  /** Returns the incarnation of the dispatcher, zero while not known. */
  long incarnation() {
    return incarnation;
  }

  /** Takes note of the current owner, and returns whether it changed. */
  boolean follow(String vm) {
    if (vm.equals(owner)) {
      return false;
    }
    owner = vm;
    incarnation = 0;
    lostRegistration();
    unansweredSinceMs = Optional.empty();
    return true;
  }

  /** Takes note of a message of the dispatcher, and returns whether it is not from an old one. */
  boolean heard(long dispatcherIncarnation) {
    if (dispatcherIncarnation < incarnation) {
      return false;
    }
    unansweredSinceMs = Optional.empty();
    if (dispatcherIncarnation > incarnation) {
      incarnation = dispatcherIncarnation;
      lostRegistration();
    }
    return true;
  }

  /** Takes note of a message to which an answer is due. */
  void asked(long nowMs) {
    if (unansweredSinceMs.isEmpty()) {
      unansweredSinceMs = Optional.of(nowMs);
    }
  }

  /** Starts waiting for answers anew, after a pause. */
  void restart() {
    unansweredSinceMs = Optional.empty();
    lostRegistration();
  }

  boolean isOutOfReach(long nowMs) {
    return unansweredSinceMs.map(since -> nowMs - since >= OUT_OF_REACH_MS).orElse(false);
  }

  void registered() {
    registered = true;
  }

  void lostRegistration() {
    registered = false;
    nextRegisterMs = Long.MIN_VALUE;
  }

  boolean isRegistrationDue(long nowMs) {
    return !registered && nowMs >= nextRegisterMs;
  }

  void sentRegistration(long nowMs) {
    nextRegisterMs = nowMs + REGISTER_RESEND_MS;
  }
}
