package org.zinniaspan.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.peer.proto.ClaimVote;
import org.zinniaspan.peer.proto.ClaimVote.Result;
import org.zinniaspan.peer.proto.VoterProcess;

/**
 * Collects the votes on one claim.
 *
 * <p>Votes count while they are valid, and only those of the newest known process of each voter.
 * Not safe for use by several threads.
 */
final class ClaimRound {

  /** The attempt that holds the key at a voter. */
  record KeyHolder(String attemptId, String vm, long incarnation) {}

  private record ReceivedVote(ClaimVote vote, long incarnation, long askedMs) {}

  private final String claimId;
  private final long voteValidMs;
  private final Map<String, ReceivedVote> votes = new HashMap<>();
  private final Map<String, Long> processes = new HashMap<>();
  private final List<Long> askTimesMs = new ArrayList<>();
  private VoterList list;
  private long startedMs;

  ClaimRound(String claimId, VoterList list, long voteValidMs, long nowMs) {
    this.claimId = claimId;
    this.list = list;
    this.voteValidMs = voteValidMs;
    this.startedMs = nowMs;
  }

  String claimId() {
    return claimId;
  }

  VoterList list() {
    return list;
  }

  long startedMs() {
    return startedMs;
  }

  /** Goes on with the same claim at the voters of another list, or for new votes. */
  void restart(VoterList newList, long nowMs) {
    list = newList;
    votes.clear();
    startedMs = nowMs;
  }

  /** Begins an ask and returns its number. */
  int nextAsk(long nowMs) {
    askTimesMs.add(nowMs);
    return askTimesMs.size() - 1;
  }

  /** Returns the time of the last ask. */
  long lastAskMs() {
    return askTimesMs.isEmpty() ? Long.MIN_VALUE / 2 : askTimesMs.get(askTimesMs.size() - 1);
  }

  /** Returns the voters whose valid acceptance is missing. */
  List<String> votersToAsk(long nowMs) {
    return list.voters().stream().filter(vm -> !hasValidAcceptance(vm, nowMs)).toList();
  }

  /** Takes in a vote. */
  void addVote(String vm, long incarnation, ClaimVote vote) {
    vote.getProcessesList().forEach(process -> recordProcess(process));
    recordProcess(VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation).build());
    if (vote.getAsk() < 0 || vote.getAsk() >= askTimesMs.size() || !list.voters().contains(vm)) {
      return;
    }
    long askedMs = askTimesMs.get(vote.getAsk());
    ReceivedVote known = votes.get(vm);
    if (known == null || known.askedMs() <= askedMs) {
      votes.put(vm, new ReceivedVote(vote, incarnation, askedMs));
    }
  }

  private void recordProcess(VoterProcess process) {
    processes.merge(process.getVm(), process.getIncarnation(), Math::max);
  }

  private boolean hasValidAcceptance(String vm, long nowMs) {
    ReceivedVote vote = votes.get(vm);
    if (vote == null) {
      return false;
    }
    Result result = vote.vote().getResult();
    boolean accepted = result == Result.ACCEPTED || result == Result.ACCEPTED_NOT_RUN;
    boolean newest = vote.incarnation() == processes.get(vm);
    boolean sameList = vote.vote().getListRevision() == list.revision();
    return accepted && newest && sameList && nowMs - vote.askedMs() <= voteValidMs;
  }

  /** Returns whether a majority accepts the claim now. */
  boolean hasMajority(long nowMs) {
    long accepted = list.voters().stream().filter(vm -> hasValidAcceptance(vm, nowMs)).count();
    return accepted >= list.majority();
  }

  /** Returns whether a voter lets the claimant only answer that the call was not run. */
  boolean isNotRunOnly() {
    return votes.values().stream()
        .anyMatch(vote -> vote.vote().getResult() == Result.ACCEPTED_NOT_RUN);
  }

  /** Returns whether so many voters hold the key for others that no majority can accept. */
  boolean isBlocked() {
    long held = heldVotes().size();
    return held > list.voters().size() - list.majority();
  }

  /** Returns whether fewer voters than a majority answered. */
  boolean lacksMajorityOfReplies() {
    return votes.size() < list.majority();
  }

  /** Returns the holder that most of the voters name. */
  Optional<KeyHolder> mostNamedHolder() {
    Map<KeyHolder, Integer> counts = new HashMap<>();
    for (ReceivedVote vote : heldVotes()) {
      ClaimVote v = vote.vote();
      KeyHolder holder =
          new KeyHolder(v.getHolderAttemptId(), v.getHolderVm(), v.getHolderIncarnation());
      counts.merge(holder, 1, Integer::sum);
    }
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }

  private List<ReceivedVote> heldVotes() {
    return votes.values().stream().filter(vote -> vote.vote().getResult() == Result.HELD).toList();
  }

  /** Returns the votes for a log line. */
  String summary() {
    Map<String, Integer> counts = new HashMap<>();
    votes.values().forEach(vote -> counts.merge(vote.vote().getResult().name(), 1, Integer::sum));
    return "of " + list.voters().size() + " voters " + counts;
  }
}
