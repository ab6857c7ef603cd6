package org.zinniaspan.runner;

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
 * Votes on claims of idempotency keys, and synchronises its claims with the other voters of the
 * zone.
 *
 * <p>A voter votes only at the newest revision of the list that it knows. It abstains while it may
 * lack claims that an earlier majority accepted. State is guarded by this object's lock.
 */
public final class ClaimVoter implements PeerHandler, Ticking {

  private static final long EXPIRY_PERIOD_MS = 1_000;

  private final Member self;
  private final Supplier<VoterList> list;
  private final LongSupplier listConfirmedMs;
  private final PeerLink link;
  private final Clock clock;
  private final ClaimTable claims;
  private final VoterEligibility eligibility;
  private final ClaimSync sync;
  private long lastExpiryMs;

  /**
   * Creates the voter of this VM.
   *
   * @param self this process
   * @param list supplier of the voters at the revision in force
   * @param listConfirmedMs supplier of the time, in milliseconds, at which the platform last
   *     confirmed that revision
   * @param link link to the other VMs
   * @param clock source of time
   * @param settings timeouts and limits
   */
  ClaimVoter(
      Member self,
      Supplier<VoterList> list,
      LongSupplier listConfirmedMs,
      PeerLink link,
      Clock clock,
      AtMostOnceSettings settings) {
    this.self = self;
    this.list = list;
    this.listConfirmedMs = listConfirmedMs;
    this.link = link;
    this.clock = clock;
    this.claims = new ClaimTable(settings.horizonMs(), settings.maxClaims());
    this.eligibility = new VoterEligibility(self.vm(), self.incarnation(), settings);
    this.sync = new ClaimSync(self, claims, eligibility, link);
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
        // Other bodies are handled by other components.
      }
    }
  }

  @Override
  public synchronized void tick() {
    long nowMs = clock.nowMs();
    refresh();
    sync.tick(nowMs);
    if (nowMs - lastExpiryMs >= EXPIRY_PERIOD_MS) {
      claims.expire(nowMs);
      lastExpiryMs = nowMs;
    }
  }

  /** Returns whether this voter is eligible to vote now. */
  public synchronized boolean mayVote() {
    refresh();
    return eligibility.mayVote();
  }

  /** Returns the number of keys that this voter stores. */
  public synchronized int claimCount() {
    return claims.size();
  }

  private void refresh() {
    long nowMs = clock.nowMs();
    final boolean mayVoteBefore = eligibility.mayVote();
    eligibility.evaluate(listConfirmedMs.getAsLong(), nowMs);
    if (eligibility.adopt(list.get(), nowMs)) {
      sync.restart();
    }
    eligibility.evaluate(listConfirmedMs.getAsLong(), nowMs);
    if (eligibility.mayVote() != mayVoteBefore) {
      EventLog.event("claim-voter")
          .with("vm", self.vm())
          .with("votes", eligibility.mayVote())
          .with("listRevision", eligibility.current().map(VoterList::revision).orElse(0L))
          .info();
    }
  }

  private void vote(Envelope message, ClaimRequest request) {
    ClaimVote.Builder vote =
        ClaimVote.newBuilder()
            .setKey(request.getKey())
            .setAttemptId(request.getAttemptId())
            .setAsk(request.getAsk());
    ClaimTable.Claimant claimant =
        new ClaimTable.Claimant(
            request.getAttemptId(), message.getFromVm(), message.getFromIncarnation());
    vote.setResult(decide(request, claimant));
    vote.setListRevision(eligibility.current().map(VoterList::revision).orElse(0L));
    if (vote.getResult() == Result.HELD) {
      claims
          .otherHolder(request.getKey(), request.getAttemptId())
          .ifPresent(holder -> setHolder(holder, vote));
    }
    eligibility
        .processes()
        .forEach(
            (vm, incarnation) ->
                vote.addProcesses(VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation)));
    link.send(message.getFromVm(), Envelope.newBuilder().setClaimVote(vote));
  }

  private Result decide(ClaimRequest request, ClaimTable.Claimant claimant) {
    long revision = eligibility.current().map(VoterList::revision).orElse(0L);
    if (request.getListRevision() != revision) {
      return Result.OTHER_REVISION;
    }
    if (!eligibility.mayVote() || !eligibility.isNewest(claimant.vm(), claimant.incarnation())) {
      return Result.ABSTAINED;
    }
    return switch (claims.claim(request.getKey(), claimant, clock.nowMs())) {
      case ACCEPTED -> Result.ACCEPTED;
      case ACCEPTED_NOT_RUN -> Result.ACCEPTED_NOT_RUN;
      case HELD -> Result.HELD;
      case FULL -> Result.ABSTAINED;
    };
  }

  private static void setHolder(ClaimTable.Claimant holder, ClaimVote.Builder vote) {
    vote.setHolderVm(holder.vm())
        .setHolderIncarnation(holder.incarnation())
        .setHolderAttemptId(holder.attemptId());
  }

  private void release(ClaimRelease release) {
    claims.release(release.getKey(), release.getAttemptId(), release.getBlockMs(), clock.nowMs());
  }

  private void onSyncRequest(Envelope message, ClaimSyncRequest request) {
    sync.onRequest(message.getFromVm(), message.getFromIncarnation(), request, clock.nowMs());
  }

  private void onSyncReply(Envelope message, ClaimSyncReply reply) {
    sync.onReply(message.getFromVm(), message.getFromIncarnation(), reply, clock.nowMs());
    refresh();
  }
}
