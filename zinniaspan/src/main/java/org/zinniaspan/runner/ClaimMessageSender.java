package org.zinniaspan.runner;

import org.zinniaspan.peer.proto.ClaimRelease;
import org.zinniaspan.peer.proto.ClaimRequest;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.peer.proto.OutcomeRequest;

/** Sends the messages of attempts. */
final class ClaimMessageSender {

  private final RunnerContext context;

  ClaimMessageSender(RunnerContext context) {
    this.context = context;
  }

  /** Asks the voters whose acceptance a round lacks. */
  void sendClaimRequest(String key, ClaimRound round, long nowMs) {
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setKey(key)
            .setAttemptId(round.claimId())
            .setListRevision(round.list().revision())
            .setAsk(round.nextAsk(nowMs))
            .build();
    for (String vm : round.votersToAsk(nowMs)) {
      context.link.send(vm, Envelope.newBuilder().setClaimRequest(request));
    }
  }

  /** Gives a claim back at all voters; with a block, nobody may run the call for that time. */
  void sendRelease(VoterList list, String key, String claimId, long blockMs) {
    ClaimRelease release =
        ClaimRelease.newBuilder().setKey(key).setAttemptId(claimId).setBlockMs(blockMs).build();
    for (String vm : list.voters()) {
      context.link.send(vm, Envelope.newBuilder().setClaimRelease(release));
    }
  }

  /** Asks the VM of a holder what became of the call. */
  void sendOutcomeRequest(ClaimRound.KeyHolder holder, String key, String attemptId) {
    OutcomeRequest request =
        OutcomeRequest.newBuilder()
            .setKey(key)
            .setAttemptId(attemptId)
            .setHolderAttemptId(holder.attemptId())
            .build();
    context.link.send(holder.vm(), Envelope.newBuilder().setOutcomeRequest(request));
  }

  /** Tells an attempt at another VM an outcome. */
  void sendOutcome(String vm, String attemptId, OutcomeReply reply) {
    OutcomeReply.Builder addressed = reply.toBuilder().setAttemptId(attemptId);
    context.link.send(vm, Envelope.newBuilder().setOutcomeReply(addressed));
  }
}
