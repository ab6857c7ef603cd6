package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides whether a voter knows every claim that an earlier majority may have accepted.
 *
 * <p>A voter is mature at its revision of the list once the complete memories that it has read meet
 * every majority of every list of the retry horizon, or once the horizon has passed. Not safe for
 * use by several threads.
 */
final class VoterMaturity {

  private record Reply(long incarnation, boolean complete) {}

  private final String self;
  private final AtMostOnceSettings settings;
  private final Map<Long, SeenList> lists = new TreeMap<>();
  private final Map<String, Long> processes = new HashMap<>();
  private final Map<String, Reply> replies = new HashMap<>();
  private final Map<String, Long> heardMs = new HashMap<>();
  private Optional<VoterList> current = Optional.empty();
  private long replacedMs = Long.MIN_VALUE;
  private long adoptedMs;
  private boolean complete;
  private boolean mature;
  private boolean stale;

  VoterMaturity(String self, long incarnation, AtMostOnceSettings settings) {
    this.self = self;
    this.settings = settings;
    processes.put(self, incarnation);
  }

  /** Follows a newer list; returns whether it was newer. */
  boolean adopt(VoterList list, long nowMs) {
    if (list.voters().isEmpty()
        || current.map(known -> known.revision() >= list.revision()).orElse(false)) {
      return false;
    }
    if (stale) {
      complete = false;
      stale = false;
    }
    current.ifPresent(old -> lists.put(old.revision(), new SeenList(old, nowMs)));
    lists.put(list.revision(), new SeenList(list, nowMs));
    current = Optional.of(list);
    adoptedMs = nowMs;
    mature = false;
    replies.clear();
    heardMs.clear();
    return true;
  }

  Optional<VoterList> current() {
    return current;
  }

  boolean isComplete() {
    return complete;
  }

  boolean isMature() {
    return mature;
  }

  long adoptedMs() {
    return adoptedMs;
  }

  /** Returns whether this voter may vote now. */
  boolean mayVote() {
    return mature && !stale && current.filter(list -> list.voters().contains(self)).isPresent();
  }

  Map<String, Long> processes() {
    return processes;
  }

  /** Returns whether a voter's process was replaced within the horizon, as far as is known. */
  boolean processReplaced(long nowMs) {
    return replacedMs != Long.MIN_VALUE && nowMs - replacedMs <= settings.horizonMs();
  }

  void markReplaced(long nowMs) {
    replacedMs = nowMs;
  }

  /** A list, and the time at which it was last in force as far as is known. */
  record SeenList(VoterList list, long seenMs) {}

  /** Returns the lists of the horizon. */
  List<SeenList> lists(long nowMs) {
    long inForce = current.map(VoterList::revision).orElse(0L);
    lists.computeIfPresent(inForce, (revision, seen) -> new SeenList(seen.list(), nowMs));
    lists.values().removeIf(seen -> nowMs - seen.seenMs() > settings.horizonMs());
    return List.copyOf(lists.values());
  }

  /** Learns that another voter has had a list in force. */
  void learnList(VoterList list, long seenMs) {
    lists.merge(
        list.revision(),
        new SeenList(list, seenMs),
        (known, learnt) -> known.seenMs() >= seenMs ? known : learnt);
  }

  /** Learns which process runs on a VM. */
  void learnProcess(String vm, long incarnation, long nowMs) {
    long known = processes.getOrDefault(vm, 0L);
    if (known != 0 && known != incarnation) {
      replacedMs = nowMs;
    }
    processes.put(vm, Math.max(known, incarnation));
  }

  /** Returns whether the process is the newest known one of its VM. */
  boolean isNewest(String vm, long incarnation) {
    return processes.getOrDefault(vm, incarnation) <= incarnation;
  }

  /** Records that a voter runs and has the same revision. */
  void heard(String vm, long nowMs) {
    heardMs.put(vm, nowMs);
  }

  /** Records that a voter's claims have been read whole. */
  void replied(String vm, long incarnation, boolean isComplete) {
    replies.put(vm, new Reply(incarnation, isComplete));
  }

  /** Decides anew, as time passes and replies come. */
  void evaluate(long confirmedMs, long nowMs) {
    if (current.isEmpty()) {
      return;
    }
    stale = nowMs - Math.max(confirmedMs, leastRecentlyHeardMs()) > settings.freshnessMs();
    if (mature || stale) {
      return;
    }
    if (nowMs - adoptedMs > settings.horizonMs() || isCovered(nowMs)) {
      mature = true;
      complete = true;
    }
  }

  private long leastRecentlyHeardMs() {
    return current.orElseThrow().voters().stream()
        .filter(vm -> !vm.equals(self))
        .mapToLong(vm -> heardMs.getOrDefault(vm, adoptedMs))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private boolean isCovered(long nowMs) {
    VoterList now = current.orElseThrow();
    Set<String> remembering = remembering(now, nowMs);
    for (SeenList seen : lists(nowMs)) {
      VoterList list = seen.list();
      boolean needed = list.revision() < now.revision() || !complete;
      if (needed && !list.everyMajorityMeets(remembering)) {
        return false;
      }
    }
    return true;
  }

  private Set<String> remembering(VoterList now, long nowMs) {
    Set<String> vms = new HashSet<>();
    boolean firstDeployment = isFirstDeployment(now, nowMs);
    if (complete || firstDeployment) {
      vms.add(self);
    }
    replies.forEach(
        (vm, reply) -> {
          if (isNewest(vm, reply.incarnation()) && (reply.complete() || firstDeployment)) {
            vms.add(vm);
          }
        });
    return vms;
  }

  private boolean isFirstDeployment(VoterList now, long nowMs) {
    return now.young()
        && !processReplaced(nowMs)
        && now.voters().stream().allMatch(vm -> vm.equals(self) || replies.containsKey(vm));
  }
}
