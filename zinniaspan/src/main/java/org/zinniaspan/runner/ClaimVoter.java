package org.zinniaspan.runner;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.ClaimRelease;
import org.zinniaspan.peer.proto.ClaimRequest;
import org.zinniaspan.peer.proto.ClaimSyncReply;
import org.zinniaspan.peer.proto.ClaimSyncRequest;
import org.zinniaspan.peer.proto.ClaimVote;
import org.zinniaspan.peer.proto.ClaimVote.Result;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.VoterProcess;

/**
 * Votes on claims of keys, and keeps its memory in step with the other voters of the zone.
 *
 * <p>It votes only at the newest revision of the list that it knows, and abstains while it may have
 * forgotten claims. State is guarded by this object's lock.
 */
public final class ClaimVoter implements PeerHandler, Ticking {

  private static final long EXPIRE_PERIOD_MS = 1_000;

  private final Member self;
  private final Supplier<VoterList> list;
  private final LongSupplier confirmedMs;
  private final PeerLink link;
  private final Clock clock;
  private final ClaimMemory memory;
  private final VoterMaturity maturity;
  private final ClaimSync sync;
  private long expiredMs;

  /**
   * Creates a voter.
   *
   * @param self this process
   * @param list voters at the revision in force
   * @param confirmedMs time at which the platform last confirmed that revision
   * @param link sends votes
   * @param clock source of time
   * @param settings times and bounds
   */
  ClaimVoter(
      Member self,
      Supplier<VoterList> list,
      LongSupplier confirmedMs,
      PeerLink link,
      Clock clock,
      AtMostOnceSettings settings) {
    this.self = self;
    this.list = list;
    this.confirmedMs = confirmedMs;
    this.link = link;
    this.clock = clock;
    this.memory = new ClaimMemory(settings.horizonMs(), settings.maxClaims());
    this.maturity = new VoterMaturity(self.vm(), self.incarnation(), settings);
    this.sync = new ClaimSync(self, memory, maturity, link);
  }

  @Override
  public synchronized void handle(Envelope message) {
    refresh();
    switch (message.getBodyCase()) {
      case CLAIM_REQUEST -> vote(message, message.getClaimRequest());
      case CLAIM_RELEASE -> release(message.getClaimRelease());
      case CLAIM_SYNC_REQUEST -> onSyncRequest(message, message.getClaimSyncRequest());
      case CLAIM_SYNC_REPLY -> onSyncReply(message, message.getClaimSyncReply());
      default -> {
        // Other bodies are for other components.
      }
    }
  }

  @Override
  public synchronized void tick() {
    long nowMs = clock.nowMs();
    refresh();
    sync.tick(nowMs);
    if (nowMs - expiredMs >= EXPIRE_PERIOD_MS) {
      memory.expire(nowMs);
      expiredMs = nowMs;
    }
  }

  /** Returns whether this voter votes now. */
  public synchronized boolean mayVote() {
    refresh();
    return maturity.mayVote();
  }

  /** Returns the number of claims in memory. */
  public synchronized int size() {
    return memory.size();
  }

  private void refresh() {
    long nowMs = clock.nowMs();
    final boolean before = maturity.mayVote();
    if (maturity.adopt(list.get(), nowMs)) {
      sync.restart();
    }
    maturity.evaluate(confirmedMs.getAsLong(), nowMs);
    if (maturity.mayVote() != before) {
      EventLog.event("claim-voter")
          .with("vm", self.vm())
          .with("votes", maturity.mayVote())
          .with("listRevision", maturity.current().map(VoterList::revision).orElse(0L))
          .info();
    }
  }

  private void vote(Envelope message, ClaimRequest request) {
    ClaimVote.Builder vote =
        ClaimVote.newBuilder()
            .setKey(request.getKey())
            .setAttemptId(request.getAttemptId())
            .setAsk(request.getAsk());
    ClaimMemory.Holder claimant =
        new ClaimMemory.Holder(
            request.getAttemptId(), message.getFromVm(), message.getFromIncarnation());
    vote.setResult(decide(request, claimant));
    vote.setListRevision(maturity.current().map(VoterList::revision).orElse(0L));
    if (vote.getResult() == Result.HELD) {
      memory
          .otherHolder(request.getKey(), request.getAttemptId())
          .ifPresent(holder -> name(holder, vote));
    }
    maturity
        .processes()
        .forEach(
            (vm, incarnation) ->
                vote.addProcesses(VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation)));
    link.send(message.getFromVm(), Envelope.newBuilder().setClaimVote(vote));
  }

  private Result decide(ClaimRequest request, ClaimMemory.Holder claimant) {
    long revision = maturity.current().map(VoterList::revision).orElse(0L);
    if (request.getListRevision() != revision) {
      return Result.OTHER_REVISION;
    }
    if (!maturity.mayVote() || !maturity.isNewest(claimant.vm(), claimant.incarnation())) {
      return Result.ABSTAINED;
    }
    return switch (memory.claim(request.getKey(), claimant, clock.nowMs())) {
      case ACCEPTED -> Result.ACCEPTED;
      case ACCEPTED_NOT_RUN -> Result.ACCEPTED_NOT_RUN;
      case HELD -> Result.HELD;
      case FULL -> Result.ABSTAINED;
    };
  }

  private static void name(ClaimMemory.Holder holder, ClaimVote.Builder vote) {
    vote.setHolderVm(holder.vm())
        .setHolderIncarnation(holder.incarnation())
        .setHolderAttemptId(holder.attemptId());
  }

  private void release(ClaimRelease release) {
    memory.release(release.getKey(), release.getAttemptId(), release.getBlockMs(), clock.nowMs());
  }

  private void onSyncRequest(Envelope message, ClaimSyncRequest request) {
    sync.onRequest(message.getFromVm(), message.getFromIncarnation(), request, clock.nowMs());
  }

  private void onSyncReply(Envelope message, ClaimSyncReply reply) {
    sync.onReply(message.getFromVm(), message.getFromIncarnation(), reply, clock.nowMs());
    refresh();
  }

  /** Returns why this voter does not vote, if it does not. */
  public synchronized Optional<String> abstention() {
    refresh();
    return maturity.mayVote()
        ? Optional.empty()
        : Optional.of("list revision " + list.get().revision() + " is not covered yet");
  }
}
