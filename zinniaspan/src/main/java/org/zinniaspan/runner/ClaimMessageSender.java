package org.zinniaspan.runner;

import org.zinniaspan.peer.proto.ClaimRelease;
import org.zinniaspan.peer.proto.ClaimRequest;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.peer.proto.OutcomeRequest;

/** Sends the peer messages of call attempts: claim requests, releases and outcomes. */
final class ClaimMessageSender {

  private final RunnerContext context;

  ClaimMessageSender(RunnerContext context) {
    this.context = context;
  }

  /** Sends a claim request to the voters from which the round has no valid acceptance. */
  void sendClaimRequest(String key, ClaimRound round, long nowMs) {
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setKey(key)
            .setAttemptId(round.claimId())
            .setListRevision(round.list().revision())
            .setAsk(round.recordRequest(nowMs))
            .build();
    for (String vm : round.votersWithoutAcceptance(nowMs)) {
      context.link.send(vm, Envelope.newBuilder().setClaimRequest(request));
    }
  }

  /**
   * Releases a claim at all voters of a list; if {@code blockMs} is above 0, the voters let no
   * attempt run the call for that many milliseconds.
   */
  void sendRelease(VoterList list, String key, String claimId, long blockMs) {
    ClaimRelease release =
        ClaimRelease.newBuilder().setKey(key).setAttemptId(claimId).setBlockMs(blockMs).build();
    for (String vm : list.voters()) {
      context.link.send(vm, Envelope.newBuilder().setClaimRelease(release));
    }
  }

  /** Requests the outcome of the call from the VM of the attempt that holds the key. */
  void sendOutcomeRequest(ClaimRound.KeyHolder holder, String key, String attemptId) {
    OutcomeRequest request =
        OutcomeRequest.newBuilder()
            .setKey(key)
            .setAttemptId(attemptId)
            .setHolderAttemptId(holder.attemptId())
            .build();
    context.link.send(holder.vm(), Envelope.newBuilder().setOutcomeRequest(request));
  }

  /** Sends an outcome to an attempt at another VM. */
  void sendOutcome(String vm, String attemptId, OutcomeReply reply) {
    OutcomeReply.Builder addressed = reply.toBuilder().setAttemptId(attemptId);
    context.link.send(vm, Envelope.newBuilder().setOutcomeReply(addressed));
  }
}
