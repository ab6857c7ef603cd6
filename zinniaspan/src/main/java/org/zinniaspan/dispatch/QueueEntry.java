package org.zinniaspan.dispatch;

import java.util.Optional;

/** A request in a queue, either waiting or holding a slot. Guarded by the lock of its queue. */
final class QueueEntry {

  private final LeaseRequest request;
  private final Requester requester;
  private int round;

  /** Virtual start time in the fair queue of the tier. */
  private double startTag;

  /** Estimated tokens of the request divided by the weight of its organisation. */
  private double weightedCost;

  private Optional<String> endpoint = Optional.empty();
  private long heldSinceMs;
  private boolean adopted;
  private boolean confirmed;
  private boolean preempted;
  private boolean preemptionExempt;

  /**
   * The gateway process that made the request.
   *
   * @param vm name of its VM
   * @param incarnation incarnation of the process
   * @param sequence position of the request among those of the process
   */
  record Requester(String vm, long incarnation, long sequence) {}

  QueueEntry(LeaseRequest request, Requester requester, int round) {
    this.request = request;
    this.requester = requester;
    this.round = round;
  }

  LeaseRequest request() {
    return request;
  }

  String attemptId() {
    return request.attemptId();
  }

  int tier() {
    return request.serviceClass().tier();
  }

  Requester requester() {
    return requester;
  }

  int round() {
    return round;
  }

  void updateRound(int newerRound) {
    round = Math.max(round, newerRound);
  }

  double startTag() {
    return startTag;
  }

  double weightedCost() {
    return weightedCost;
  }

  void setStartTag(double start, double newCost) {
    startTag = start;
    weightedCost = newCost;
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

  void hold(String endpointName, long nowMs) {
    endpoint = Optional.of(endpointName);
    heldSinceMs = nowMs;
  }

  /** Records a slot that the request held before this queue knew it. */
  void adopt(String endpointName, long nowMs) {
    hold(endpointName, nowMs);
    adopted = true;
    confirmed = true;
  }

  boolean isAdopted() {
    return adopted;
  }

  /** Returns whether the gateway has confirmed that it holds the slot. */
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

  /** Exempts the request from preemption, because its tier was starved. */
  void exemptFromPreemption() {
    preemptionExempt = true;
  }

  boolean isPreemptible() {
    return request.preemptible() && !preemptionExempt && !preempted;
  }
}
