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
 * Counts the votes on one claim.
 *
 * <p>A vote counts while it is valid, and only if it is from the newest known process of its voter.
 * Not thread-safe.
 */
final class ClaimRound {

  /** The attempt that holds the key according to a voter. */
  record KeyHolder(String attemptId, String vm, long incarnation) {}

  private record ReceivedVote(ClaimVote vote, long incarnation, long requestedMs) {}

  private final String claimId;
  private final long voteValidMs;
  private final Map<String, ReceivedVote> votes = new HashMap<>();
  private final Map<String, Long> processes = new HashMap<>();
  private final List<Long> requestTimesMs = new ArrayList<>();
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

  /** Discards all votes and continues the same claim with the voters of the given list. */
  void restart(VoterList newList, long nowMs) {
    list = newList;
    votes.clear();
    startedMs = nowMs;
  }

  /** Records the time of a new claim request and returns the number of the request. */
  int recordRequest(long nowMs) {
    requestTimesMs.add(nowMs);
    return requestTimesMs.size() - 1;
  }

  /** Returns the time, in milliseconds, of the last claim request. */
  long lastRequestMs() {
    return requestTimesMs.isEmpty()
        ? Long.MIN_VALUE / 2
        : requestTimesMs.get(requestTimesMs.size() - 1);
  }

  /** Returns the voters whose acceptance is missing or no longer valid. */
  List<String> votersWithoutAcceptance(long nowMs) {
    return list.voters().stream().filter(vm -> !hasValidAcceptance(vm, nowMs)).toList();
  }

  /** Records a vote, and the processes of voters that it reports. */
  void addVote(String vm, long incarnation, ClaimVote vote) {
    vote.getProcessesList().forEach(process -> recordProcess(process));
    recordProcess(VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation).build());
    if (vote.getAsk() < 0
        || vote.getAsk() >= requestTimesMs.size()
        || !list.voters().contains(vm)) {
      return;
    }
    long requestedMs = requestTimesMs.get(vote.getAsk());
    ReceivedVote known = votes.get(vm);
    if (known == null || known.requestedMs() <= requestedMs) {
      votes.put(vm, new ReceivedVote(vote, incarnation, requestedMs));
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
    return accepted && newest && sameList && nowMs - vote.requestedMs() <= voteValidMs;
  }

  /** Returns whether a majority has accepted the claim with votes that are valid now. */
  boolean hasMajority(long nowMs) {
    long accepted = list.voters().stream().filter(vm -> hasValidAcceptance(vm, nowMs)).count();
    return accepted >= list.majority();
  }

  /** Returns whether a voter permits only the answer "not run", because the key is blocked. */
  boolean isNotRunOnly() {
    return votes.values().stream()
        .anyMatch(vote -> vote.vote().getResult() == Result.ACCEPTED_NOT_RUN);
  }

  /** Returns whether so many voters hold the key for other attempts that no majority can accept. */
  boolean isBlocked() {
    long held = heldVotes().size();
    return held > list.voters().size() - list.majority();
  }

  /** Returns whether fewer voters than a majority have replied. */
  boolean lacksMajorityOfReplies() {
    return votes.size() < list.majority();
  }

  /** Returns the holder that the most voters name, empty if none names one. */
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

  /** Returns the counts of votes by result, for log lines and messages. */
  String summary() {
    Map<String, Integer> counts = new HashMap<>();
    votes.values().forEach(vote -> counts.merge(vote.vote().getResult().name(), 1, Integer::sum));
    return "of " + list.voters().size() + " voters " + counts;
  }
}
