package org.zinniaspan.dispatch;

import java.util.Optional;

/** An ask that a queue knows: it waits, or it holds a slot. Guarded by the lock of its queue. */
final class QueuedAsk {

  private final SlotAsk ask;
  private final Requester requester;
  private int round;
  private double startTag;
  private double cost;
  private Optional<String> endpoint = Optional.empty();
  private long heldSinceMs;
  private boolean adopted;
  private boolean confirmed;
  private boolean preempted;
  private boolean keepsSlot;

  /**
   * The gateway process that asked.
   *
   * @param vm name of its VM
   * @param incarnation incarnation of the process
   * @param sequence order of the ask among those of the process
   */
  record Requester(String vm, long incarnation, long sequence) {}

  QueuedAsk(SlotAsk ask, Requester requester, int round) {
    this.ask = ask;
    this.requester = requester;
    this.round = round;
  }

  SlotAsk ask() {
    return ask;
  }

  String attemptId() {
    return ask.attemptId();
  }

  int tier() {
    return ask.serviceClass().tier();
  }

  Requester requester() {
    return requester;
  }

  int round() {
    return round;
  }

  void renew(int newerRound) {
    round = Math.max(round, newerRound);
  }

  double startTag() {
    return startTag;
  }

  double cost() {
    return cost;
  }

  void tag(double start, double tagCost) {
    startTag = start;
    cost = tagCost;
  }

  Optional<String> endpoint() {
    return endpoint;
  }

  boolean isHeld() {
    return endpoint.isPresent();
  }

  long heldSinceMs() {
    return heldSinceMs;
  }

  void hold(String lender, long nowMs) {
    endpoint = Optional.of(lender);
    heldSinceMs = nowMs;
  }

  /** Takes over an ask that held its slot before this queue knew it. */
  void adopt(String lender, long nowMs) {
    hold(lender, nowMs);
    adopted = true;
    confirmed = true;
  }

  boolean isAdopted() {
    return adopted;
  }

  /** Returns whether the gateway has said that it took the grant. */
  boolean isConfirmed() {
    return confirmed;
  }

  void confirm() {
    confirmed = true;
  }

  boolean isPreempted() {
    return preempted;
  }

  void preempt() {
    preempted = true;
  }

  /** Exempts the ask from preemption, because its tier was starved. */
  void keepSlot() {
    keepsSlot = true;
  }

  boolean isPreemptible() {
    return ask.preemptible() && !keepsSlot && !preempted;
  }
}
