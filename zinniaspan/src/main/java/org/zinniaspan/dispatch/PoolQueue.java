package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.zinniaspan.request.NotRunReason;

/**
 * Admission control and priority queue of one pool: grants slots, and queues, refuses or preempts
 * requests.
 *
 * <p>Tiers have strict priority: a slot goes to a tier only while no request of a higher tier waits
 * that could use it. A request that is not expected to meet its deadline is refused at once, unless
 * it preempts work of a lower tier or is the first of a starved tier. Not thread-safe; callers hold
 * a lock.
 */
final class PoolQueue {

  /**
   * Factor on the estimated wait of a new request; above 1, so that it need not be refused later.
   */
  private static final double ADMISSION_WAIT_FACTOR = 1.3;

  /** Factor on the estimated wait of a waiting request; below 1, since the estimate varies. */
  private static final double RECHECK_WAIT_FACTOR = 0.5;

  /** Lowest tier whose requests preempt work of lower tiers. */
  private static final int LOWEST_PREEMPTING_TIER = 1;

  private final SlotSource source;
  private final QueueLimits limits;
  private final ToIntFunction<String> weights;
  private final SlotReleaseRate releaseRate = new SlotReleaseRate();
  private final WaitEstimator waitEstimator;
  private final StarvationGate starvationGate;
  private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>();
  private final Map<String, QueueEntry> entries = new HashMap<>();
  private int held;
  private int preemptedCount;
  private boolean grantsEnabled = true;

  PoolQueue(SlotSource source, QueueLimits limits, ToIntFunction<String> weights) {
    this.source = source;
    this.limits = limits;
    this.weights = weights;
    this.starvationGate = new StarvationGate(limits);
    this.waitEstimator = new WaitEstimator(releaseRate, limits);
  }

  /** Enables or disables all grants; requests wait while grants are disabled. */
  void setGrantsEnabled(boolean value) {
    grantsEnabled = value;
  }

  Optional<QueueEntry> find(String attemptId) {
    return Optional.ofNullable(entries.get(attemptId));
  }

  Collection<QueueEntry> entries() {
    return List.copyOf(entries.values());
  }

  int held() {
    return held;
  }

  int waiting() {
    return tiers.values().stream().mapToInt(TierQueue::size).sum();
  }

  /** Returns the number of waiting requests, by tier. */
  Map<Integer, Integer> waitingByTier() {
    Map<Integer, Integer> sizes = new TreeMap<>();
    tiers.forEach((tier, queue) -> sizes.put(tier, queue.size()));
    return sizes;
  }

  /** Adds a new request and returns the resulting decisions, on this request and others. */
  List<SlotDecision> offer(QueueEntry entry, long nowMs) {
    if (!source.hasEndpoint(entry.request())) {
      return List.of(new SlotDecision.Refuse(entry, NotRunReason.NO_ENDPOINT, 0));
    }
    entries.put(entry.attemptId(), entry);
    if (tierQueue(entry).isEmpty()) {
      starvationGate.recordArrival(entry.tier(), nowMs);
    }
    tierQueue(entry).add(entry);
    List<SlotDecision> decisions = new ArrayList<>(grantAll(nowMs));
    if (!entry.isHeld() && grantsEnabled) {
      admit(entry, nowMs, decisions);
    }
    if (waiting() > limits.maxWaiting()) {
      decisions.add(shedOverflow(entry, nowMs));
    }
    return decisions;
  }

  /** Adds a request that already holds a slot, and replaces any entry of the same attempt. */
  void adopt(QueueEntry entry, String endpoint, long nowMs) {
    remove(entry.attemptId());
    entry.adopt(endpoint, nowMs);
    held++;
    entries.put(entry.attemptId(), entry);
    source.adopt(endpoint, entry.request());
    releaseRate.recordHeld(entry);
  }

  /** Ends a request: releases its slot and records the use, or removes it from the queue. */
  void end(QueueEntry entry, SlotUse use, long nowMs) {
    entries.remove(entry.attemptId());
    if (!entry.isHeld()) {
      tierQueue(entry).remove(entry);
      return;
    }
    decrementHeld(entry);
    source.release(entry.endpoint().get(), entry.request(), use);
    releaseRate.recordEnd(entry, use, nowMs);
    tierQueue(entry).chargeExcess(entry, use.outputTokens());
  }

  /** Removes a request without recording the use of its slot. */
  void remove(String attemptId) {
    QueueEntry entry = entries.remove(attemptId);
    if (entry == null) {
      return;
    }
    if (entry.isHeld()) {
      decrementHeld(entry);
      source.discard(entry.endpoint().get(), entry.request());
      releaseRate.recordRemoved(entry);
    } else {
      tierQueue(entry).remove(entry);
    }
  }

  private void decrementHeld(QueueEntry entry) {
    held--;
    if (entry.isPreempted()) {
      preemptedCount--;
    }
  }

  /**
   * Grants the free slots; for requests that are not expected to meet their deadline, preempts work
   * of lower tiers or refuses them.
   */
  List<SlotDecision> serve(long nowMs) {
    List<SlotDecision> decisions = new ArrayList<>(grantAll(nowMs));
    if (grantsEnabled) {
      refuseLate(nowMs, decisions);
    }
    return decisions;
  }

  private TierQueue tierQueue(QueueEntry entry) {
    return tiers.computeIfAbsent(entry.tier(), number -> new TierQueue(weights));
  }

  private List<SlotDecision> grantAll(long nowMs) {
    List<SlotDecision> grants = new ArrayList<>();
    if (!grantsEnabled) {
      return grants;
    }
    for (TierQueue queue : tiers.values()) {
      for (QueueEntry entry : queue.inOrder()) {
        Optional<String> endpoint = source.take(entry.request());
        if (endpoint.isPresent()) {
          grants.add(grant(queue, entry, endpoint.get(), nowMs));
        } else if (entry.request().excluded().isEmpty()) {
          return grants;
        }
      }
    }
    return grants;
  }

  private SlotDecision grant(TierQueue queue, QueueEntry entry, String endpoint, long nowMs) {
    queue.removeGranted(entry);
    entry.hold(endpoint, nowMs);
    held++;
    releaseRate.recordGrant(entry, nowMs);
    if (starvationGate.recordGrant(entry.tier(), nowMs)) {
      entry.exemptFromPreemption();
    }
    return new SlotDecision.Grant(entry);
  }

  private void admit(QueueEntry entry, long nowMs, List<SlotDecision> decisions) {
    boolean alone = tierQueue(entry).size() == 1;
    if (alone && isNextStarved(entry, nowMs)) {
      return;
    }
    if (starvationGate.isClosed(entry.tier(), tiers, nowMs)) {
      decisions.add(refuse(entry, nowMs));
      return;
    }
    if (!canMeetDeadline(entry, countAhead(entry), ADMISSION_WAIT_FACTOR, nowMs)
        && !preemptFor(entry, decisions)) {
      decisions.add(refuse(entry, nowMs));
    }
  }

  private boolean isNextStarved(QueueEntry entry, long nowMs) {
    return starvationGate.nextStarvedTier(tiers, nowMs).equals(Optional.of(entry.tier()));
  }

  private boolean canMeetDeadline(QueueEntry entry, int ahead, double waitFactor, long nowMs) {
    double waitMs = waitFactor * waitEstimator.waitMs(entry.tier(), ahead - preemptedCount, nowMs);
    return nowMs + waitMs + releaseRate.firstTokenMs(entry) <= entry.request().deadlineMs();
  }

  private int countAhead(QueueEntry entry) {
    int higher = tiers.headMap(entry.tier()).values().stream().mapToInt(TierQueue::size).sum();
    return higher + tierQueue(entry).countAhead(entry);
  }

  private SlotDecision refuse(QueueEntry entry, long nowMs) {
    long retryAfterMs =
        waitEstimator.retryAfterMs(waitEstimator.waitMs(entry.tier(), countAhead(entry), nowMs));
    remove(entry.attemptId());
    return new SlotDecision.Refuse(entry, NotRunReason.OVERLOADED, retryAfterMs);
  }

  private boolean preemptFor(QueueEntry entry, List<SlotDecision> decisions) {
    if (entry.tier() > LOWEST_PREEMPTING_TIER) {
      return false;
    }
    Optional<QueueEntry> victim =
        entries.values().stream()
            .filter(other -> isPreemptibleBy(other, entry))
            .max(
                Comparator.comparingInt(QueueEntry::tier)
                    .thenComparingLong(QueueEntry::heldSinceMs)
                    .thenComparing(QueueEntry::attemptId));
    victim.ifPresent(
        other -> {
          other.preempt();
          preemptedCount++;
          decisions.add(new SlotDecision.Preempt(other));
        });
    return victim.isPresent();
  }

  private static boolean isPreemptibleBy(QueueEntry other, QueueEntry entry) {
    return other.isHeld() && other.isPreemptible() && other.tier() > entry.tier();
  }

  /**
   * Refuses the last request of the lowest non-empty tier, at or below the new request's, when the
   * queue is over its limit. The reason is {@code OVER_SHARE} if that is an earlier request of the
   * new request's tier, since the fair order between organisations put it last.
   */
  private SlotDecision shedOverflow(QueueEntry newEntry, long nowMs) {
    QueueEntry last = newEntry;
    for (TierQueue queue : tiers.tailMap(newEntry.tier()).values()) {
      last = queue.isEmpty() ? last : queue.last();
    }
    SlotDecision.Refuse refusal = (SlotDecision.Refuse) refuse(last, nowMs);
    boolean overShare = last != newEntry && last.tier() == newEntry.tier();
    NotRunReason reason = overShare ? NotRunReason.OVER_SHARE : NotRunReason.OVERLOADED;
    return new SlotDecision.Refuse(last, reason, refusal.retryAfterMs());
  }

  private void refuseLate(long nowMs, List<SlotDecision> decisions) {
    boolean noEndpointLeft = held == 0 && source.freeSlots() == 0;
    int ahead = 0;
    for (TierQueue queue : tiers.values()) {
      boolean first = true;
      for (QueueEntry entry : queue.inOrder()) {
        boolean keptForStarvation = first && isNextStarved(entry, nowMs);
        if (noEndpointLeft) {
          decisions.add(refuseNoEndpoint(entry));
        } else if (nowMs >= entry.request().deadlineMs()) {
          decisions.add(refuse(entry, nowMs));
        } else if (!keptForStarvation
            && !canMeetDeadline(entry, ahead, RECHECK_WAIT_FACTOR, nowMs)
            && !preemptFor(entry, decisions)) {
          decisions.add(refuse(entry, nowMs));
        } else {
          ahead++;
          first = false;
        }
      }
    }
  }

  private SlotDecision refuseNoEndpoint(QueueEntry entry) {
    remove(entry.attemptId());
    return new SlotDecision.Refuse(
        entry, NotRunReason.NO_ENDPOINT, WaitEstimator.DEFAULT_RETRY_AFTER_MS);
  }
}
