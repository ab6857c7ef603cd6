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
 * One pool's queue: decides who gets a slot, who waits and who is refused.
 *
 * <p>Tiers have strict priority, so that a slot goes to a tier only while no ask of a higher one
 * waits that could use it. An ask whose estimated wait exceeds its budget is refused at once. Not
 * thread-safe; its owner holds a lock.
 */
final class PoolQueue {

  /** Factor on the estimated wait of a new ask, so that it need not be refused later. */
  private static final double ADMISSION_MARGIN = 1.3;

  /** Factor on the estimated wait of an ask that waits, since the estimate varies. */
  private static final double RECHECK_MARGIN = 0.5;

  /** Lowest tier for which work of lower ones is preempted. */
  private static final int LOWEST_PREEMPTING_TIER = 1;

  private final SlotSource source;
  private final QueueLimits limits;
  private final ToIntFunction<String> weights;
  private final DrainRate drain = new DrainRate();
  private final WaitEstimate waits;
  private final StarvationGate gate;
  private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>();
  private final Map<String, QueuedAsk> entries = new HashMap<>();
  private int held;
  private int stopping;
  private boolean serving = true;

  PoolQueue(SlotSource source, QueueLimits limits, ToIntFunction<String> weights) {
    this.source = source;
    this.limits = limits;
    this.weights = weights;
    this.gate = new StarvationGate(limits);
    this.waits = new WaitEstimate(drain, limits);
  }

  /** Withholds all grants while false; asks wait in the meantime. */
  void setServing(boolean value) {
    serving = value;
  }

  Optional<QueuedAsk> find(String attemptId) {
    return Optional.ofNullable(entries.get(attemptId));
  }

  Collection<QueuedAsk> entries() {
    return List.copyOf(entries.values());
  }

  int held() {
    return held;
  }

  int waiting() {
    return tiers.values().stream().mapToInt(TierQueue::size).sum();
  }

  /** Returns the number of asks that wait, by tier. */
  Map<Integer, Integer> waitingByTier() {
    Map<Integer, Integer> sizes = new TreeMap<>();
    tiers.forEach((tier, queue) -> sizes.put(tier, queue.size()));
    return sizes;
  }

  /** Takes in a new ask. */
  List<SlotDecision> offer(QueuedAsk entry, long nowMs) {
    if (!source.hasEndpoint(entry.ask())) {
      return List.of(new SlotDecision.Refuse(entry, NotRunReason.NO_ENDPOINT, 0));
    }
    entries.put(entry.attemptId(), entry);
    if (tier(entry).isEmpty()) {
      gate.asked(entry.tier(), nowMs);
    }
    tier(entry).add(entry);
    List<SlotDecision> decisions = new ArrayList<>(grantAll(nowMs));
    if (!entry.isHeld() && serving) {
      admit(entry, nowMs, decisions);
    }
    if (waiting() > limits.maxWaiting()) {
      decisions.add(displaceFor(entry, nowMs));
    }
    return decisions;
  }

  /** Takes in an ask that holds a slot already. */
  void adopt(QueuedAsk entry, String endpoint, long nowMs) {
    remove(entry.attemptId());
    entry.adopt(endpoint, nowMs);
    held++;
    entries.put(entry.attemptId(), entry);
    source.adopt(endpoint, entry.ask());
    drain.adopted(entry);
  }

  /** Ends an ask: it gives its slot back, or stops waiting. */
  void end(QueuedAsk entry, SlotUse use, long nowMs) {
    entries.remove(entry.attemptId());
    if (!entry.isHeld()) {
      tier(entry).remove(entry);
      return;
    }
    countOut(entry);
    source.give(entry.endpoint().get(), entry.ask(), use);
    drain.ended(entry, use, nowMs);
    tier(entry).correct(entry, use.outputTokens());
  }

  /** Forgets an ask and learns nothing from it. */
  void remove(String attemptId) {
    QueuedAsk entry = entries.remove(attemptId);
    if (entry == null) {
      return;
    }
    if (entry.isHeld()) {
      countOut(entry);
      source.forget(entry.endpoint().get(), entry.ask());
      drain.forgotten(entry);
    } else {
      tier(entry).remove(entry);
    }
  }

  private void countOut(QueuedAsk entry) {
    held--;
    if (entry.isPreempted()) {
      stopping--;
    }
  }

  /** Grants what can be granted, and refuses those whose target can no longer be met. */
  List<SlotDecision> serve(long nowMs) {
    List<SlotDecision> decisions = new ArrayList<>(grantAll(nowMs));
    if (serving) {
      refuseLate(nowMs, decisions);
    }
    return decisions;
  }

  private TierQueue tier(QueuedAsk entry) {
    return tiers.computeIfAbsent(entry.tier(), number -> new TierQueue(weights));
  }

  private List<SlotDecision> grantAll(long nowMs) {
    List<SlotDecision> grants = new ArrayList<>();
    if (!serving) {
      return grants;
    }
    for (TierQueue queue : tiers.values()) {
      for (QueuedAsk entry : queue.inOrder()) {
        Optional<String> endpoint = source.take(entry.ask());
        if (endpoint.isPresent()) {
          grants.add(grant(queue, entry, endpoint.get(), nowMs));
        } else if (entry.ask().excluded().isEmpty()) {
          return grants;
        }
      }
    }
    return grants;
  }

  private SlotDecision grant(TierQueue queue, QueuedAsk entry, String endpoint, long nowMs) {
    queue.serve(entry);
    entry.hold(endpoint, nowMs);
    held++;
    drain.granted(entry, nowMs);
    if (gate.granted(entry.tier(), nowMs)) {
      entry.keepSlot();
    }
    return new SlotDecision.Grant(entry);
  }

  private void admit(QueuedAsk entry, long nowMs, List<SlotDecision> decisions) {
    boolean alone = tier(entry).size() == 1;
    if (alone && isNextStarved(entry, nowMs)) {
      return;
    }
    if (gate.isClosed(entry.tier(), tiers, nowMs)) {
      decisions.add(refuse(entry, nowMs));
      return;
    }
    if (!canWait(entry, ahead(entry), ADMISSION_MARGIN, nowMs) && !preemptFor(entry, decisions)) {
      decisions.add(refuse(entry, nowMs));
    }
  }

  private boolean isNextStarved(QueuedAsk entry, long nowMs) {
    return gate.next(tiers, nowMs).equals(Optional.of(entry.tier()));
  }

  private boolean canWait(QueuedAsk entry, int ahead, double margin, long nowMs) {
    double waitMs = margin * waits.waitMs(entry.tier(), ahead - stopping, nowMs);
    return nowMs + waitMs + drain.firstTokenMs(entry) <= entry.ask().deadlineMs();
  }

  private int ahead(QueuedAsk entry) {
    int higher = tiers.headMap(entry.tier()).values().stream().mapToInt(TierQueue::size).sum();
    return higher + tier(entry).ahead(entry);
  }

  private SlotDecision refuse(QueuedAsk entry, long nowMs) {
    long retryAfterMs = waits.retryAfterMs(waits.waitMs(entry.tier(), ahead(entry), nowMs));
    remove(entry.attemptId());
    return new SlotDecision.Refuse(entry, NotRunReason.OVERLOADED, retryAfterMs);
  }

  private boolean preemptFor(QueuedAsk entry, List<SlotDecision> decisions) {
    if (entry.tier() > LOWEST_PREEMPTING_TIER) {
      return false;
    }
    Optional<QueuedAsk> victim =
        entries.values().stream()
            .filter(other -> isVictim(other, entry))
            .max(
                Comparator.comparingInt(QueuedAsk::tier)
                    .thenComparingLong(QueuedAsk::heldSinceMs)
                    .thenComparing(QueuedAsk::attemptId));
    victim.ifPresent(
        other -> {
          other.preempt();
          stopping++;
          decisions.add(new SlotDecision.Preempt(other));
        });
    return victim.isPresent();
  }

  private static boolean isVictim(QueuedAsk other, QueuedAsk entry) {
    return other.isHeld() && other.isPreemptible() && other.tier() > entry.tier();
  }

  private SlotDecision displaceFor(QueuedAsk newcomer, long nowMs) {
    QueuedAsk last = newcomer;
    for (TierQueue queue : tiers.tailMap(newcomer.tier()).values()) {
      last = queue.isEmpty() ? last : queue.last();
    }
    SlotDecision.Refuse refusal = (SlotDecision.Refuse) refuse(last, nowMs);
    boolean overShare = last != newcomer && last.tier() == newcomer.tier();
    NotRunReason reason = overShare ? NotRunReason.OVER_SHARE : NotRunReason.OVERLOADED;
    return new SlotDecision.Refuse(last, reason, refusal.retryAfterMs());
  }

  private void refuseLate(long nowMs, List<SlotDecision> decisions) {
    boolean dead = held == 0 && source.free() == 0;
    int ahead = 0;
    for (TierQueue queue : tiers.values()) {
      boolean first = true;
      for (QueuedAsk entry : queue.inOrder()) {
        boolean kept = first && isNextStarved(entry, nowMs);
        if (dead) {
          decisions.add(unreachable(entry));
        } else if (nowMs >= entry.ask().deadlineMs()) {
          decisions.add(refuse(entry, nowMs));
        } else if (!kept
            && !canWait(entry, ahead, RECHECK_MARGIN, nowMs)
            && !preemptFor(entry, decisions)) {
          decisions.add(refuse(entry, nowMs));
        } else {
          ahead++;
          first = false;
        }
      }
    }
  }

  private SlotDecision unreachable(QueuedAsk entry) {
    remove(entry.attemptId());
    return new SlotDecision.Refuse(entry, NotRunReason.NO_ENDPOINT, WaitEstimate.UNKNOWN_RETRY_MS);
  }
}
