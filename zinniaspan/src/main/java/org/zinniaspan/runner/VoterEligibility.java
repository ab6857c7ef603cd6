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
final class VoterEligibility {

  private record Reply(long incarnation, boolean complete) {}

  /** Milliseconds of fresh news after which a voter that had none votes again. */
  private static final long RESUME_DELAY_MS = 2_000;

  private final String self;
  private final AtMostOnceSettings settings;
  private final Map<Long, SeenList> lists = new TreeMap<>();
  private final Map<String, Long> processes = new HashMap<>();
  private final Map<String, Reply> replies = new HashMap<>();
  private final Map<String, Long> lastContactMs = new HashMap<>();
  private Optional<VoterList> current = Optional.empty();
  private long lastReplacementMs = Long.MIN_VALUE;
  private long adoptedMs;
  private long lastStaleMs = Long.MIN_VALUE / 2;
  private boolean complete;
  private boolean caughtUp;
  private boolean stale;

  VoterEligibility(String self, long incarnation, AtMostOnceSettings settings) {
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
    boolean missedLists = nowMs - lastStaleMs < settings.maxListAgeMs();
    complete = complete && !missedLists;
    current.ifPresent(old -> lists.put(old.revision(), new SeenList(old, nowMs)));
    lists.put(list.revision(), new SeenList(list, nowMs));
    current = Optional.of(list);
    adoptedMs = nowMs;
    caughtUp = false;
    replies.clear();
    lastContactMs.clear();
    return true;
  }

  Optional<VoterList> current() {
    return current;
  }

  boolean isComplete() {
    return complete;
  }

  boolean isCaughtUp() {
    return caughtUp;
  }

  long adoptedMs() {
    return adoptedMs;
  }

  /** Returns whether this voter may vote now. */
  boolean mayVote() {
    return caughtUp && !stale && current.filter(list -> list.voters().contains(self)).isPresent();
  }

  Map<String, Long> processes() {
    return processes;
  }

  /** Returns whether a voter's process was replaced within the horizon, as far as is known. */
  boolean isProcessReplaced(long nowMs) {
    return lastReplacementMs != Long.MIN_VALUE && nowMs - lastReplacementMs <= settings.horizonMs();
  }

  void recordReplacement(long nowMs) {
    lastReplacementMs = nowMs;
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
  void recordList(VoterList list, long seenMs) {
    lists.merge(
        list.revision(),
        new SeenList(list, seenMs),
        (known, reported) -> known.seenMs() >= seenMs ? known : reported);
  }

  /** Learns which process runs on a VM. */
  void recordProcess(String vm, long incarnation, long nowMs) {
    long known = processes.getOrDefault(vm, 0L);
    if (known != 0 && known != incarnation) {
      lastReplacementMs = nowMs;
    }
    processes.put(vm, Math.max(known, incarnation));
  }

  /** Returns whether the process is the newest known one of its VM. */
  boolean isNewest(String vm, long incarnation) {
    return processes.getOrDefault(vm, incarnation) <= incarnation;
  }

  /** Records that a voter runs and has the same revision. */
  void recordContact(String vm, long nowMs) {
    lastContactMs.put(vm, nowMs);
  }

  /** Records that a voter's claims have been read whole. */
  void recordReply(String vm, long incarnation, boolean isComplete) {
    replies.put(vm, new Reply(incarnation, isComplete));
  }

  /** Decides anew, as time passes and replies come. */
  void evaluate(long confirmedMs, long nowMs) {
    if (current.isEmpty()) {
      return;
    }
    long lastNewsMs = Math.max(confirmedMs, oldestContactMs());
    if (nowMs - lastNewsMs > settings.maxListAgeMs()) {
      lastStaleMs = nowMs;
    }
    stale = nowMs - lastStaleMs < RESUME_DELAY_MS;
    if (caughtUp || stale) {
      return;
    }
    if (nowMs - adoptedMs > settings.horizonMs() || meetsEarlierMajorities(nowMs)) {
      caughtUp = true;
      complete = true;
    }
  }

  private long oldestContactMs() {
    return current.orElseThrow().voters().stream()
        .filter(vm -> !vm.equals(self))
        .mapToLong(vm -> lastContactMs.getOrDefault(vm, adoptedMs))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private boolean meetsEarlierMajorities(long nowMs) {
    VoterList now = current.orElseThrow();
    Set<String> completeVoters = vmsWithCompleteClaims(now, nowMs);
    for (SeenList seen : lists(nowMs)) {
      VoterList list = seen.list();
      boolean needed = list.revision() < now.revision() || !complete;
      if (needed && !list.intersectsEveryMajority(completeVoters)) {
        return false;
      }
    }
    return true;
  }

  private Set<String> vmsWithCompleteClaims(VoterList now, long nowMs) {
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
    return now.newDeployment()
        && !isProcessReplaced(nowMs)
        && now.voters().stream().allMatch(vm -> vm.equals(self) || replies.containsKey(vm));
  }
}
