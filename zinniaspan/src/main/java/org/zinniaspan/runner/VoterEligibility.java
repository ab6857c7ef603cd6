package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides whether a voter may vote, that is, whether it knows every claim that an earlier majority
 * may have accepted.
 *
 * <p>A voter has caught up at its revision of the list once the voters whose complete claims it
 * knows intersect every majority of every list of the retry horizon, or once the horizon has passed
 * since it adopted the list. On the first deployment of all zones no earlier claims exist, and
 * every voter's claims count as complete. Not thread-safe.
 */
final class VoterEligibility {

  private record Reply(long incarnation, boolean complete) {}

  /**
   * Milliseconds for which a voter that was stale must have had recent news of the list before it
   * votes again.
   */
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

  /** Adopts a list if it is newer and not empty; returns whether it was adopted. */
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

  /** Returns whether this voter may vote: listed, caught up, and with recent news of the list. */
  boolean mayVote() {
    return caughtUp && !stale && current.filter(list -> list.voters().contains(self)).isPresent();
  }

  Map<String, Long> processes() {
    return processes;
  }

  /** Returns whether a voter's process is known to have been replaced within the retry horizon. */
  boolean isProcessReplaced(long nowMs) {
    return lastReplacementMs != Long.MIN_VALUE && nowMs - lastReplacementMs <= settings.horizonMs();
  }

  void recordReplacement(long nowMs) {
    lastReplacementMs = nowMs;
  }

  /** A list, and the latest time at which it is known to have been in force. */
  record SeenList(VoterList list, long seenMs) {}

  /** Returns the lists that were in force within the retry horizon, and removes older ones. */
  List<SeenList> lists(long nowMs) {
    long inForce = current.map(VoterList::revision).orElse(0L);
    lists.computeIfPresent(inForce, (revision, seen) -> new SeenList(seen.list(), nowMs));
    lists.values().removeIf(seen -> nowMs - seen.seenMs() > settings.horizonMs());
    return List.copyOf(lists.values());
  }

  /** Records that another voter had a list in force at the given time. */
  void recordList(VoterList list, long seenMs) {
    lists.merge(
        list.revision(),
        new SeenList(list, seenMs),
        (known, reported) -> known.seenMs() >= seenMs ? known : reported);
  }

  /** Records which process runs on a VM; a changed incarnation counts as a replacement. */
  void recordProcess(String vm, long incarnation, long nowMs) {
    long known = processes.getOrDefault(vm, 0L);
    if (known != 0 && known != incarnation) {
      lastReplacementMs = nowMs;
    }
    processes.put(vm, Math.max(known, incarnation));
  }

  /** Returns whether no newer process is known on the VM. */
  boolean isNewest(String vm, long incarnation) {
    return processes.getOrDefault(vm, incarnation) <= incarnation;
  }

  /** Records that a voter was running with the same list revision at the given time. */
  void recordContact(String vm, long nowMs) {
    lastContactMs.put(vm, nowMs);
  }

  /**
   * Records that all claims of a voter have been read.
   *
   * @param isComplete whether that voter itself had complete claims
   */
  void recordReply(String vm, long incarnation, boolean isComplete) {
    replies.put(vm, new Reply(incarnation, isComplete));
  }

  /**
   * Re-evaluates the eligibility; called as time passes and replies arrive.
   *
   * @param confirmedMs time, in milliseconds, at which the platform last confirmed the list
   * @param nowMs present time in milliseconds
   */
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
    if (nowMs - adoptedMs > settings.horizonMs() || intersectsEarlierMajorities(nowMs)) {
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

  private boolean intersectsEarlierMajorities(long nowMs) {
    VoterList currentList = current.orElseThrow();
    Set<String> completeVoters = vmsWithCompleteClaims(currentList, nowMs);
    for (SeenList seen : lists(nowMs)) {
      VoterList list = seen.list();
      boolean needed = list.revision() < currentList.revision() || !complete;
      if (needed && !list.intersectsEveryMajority(completeVoters)) {
        return false;
      }
    }
    return true;
  }

  private Set<String> vmsWithCompleteClaims(VoterList currentList, long nowMs) {
    Set<String> vms = new HashSet<>();
    boolean firstDeployment = isFirstDeployment(currentList, nowMs);
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

  private boolean isFirstDeployment(VoterList currentList, long nowMs) {
    return currentList.newDeployment()
        && !isProcessReplaced(nowMs)
        && currentList.voters().stream().allMatch(vm -> vm.equals(self) || replies.containsKey(vm));
  }
}
