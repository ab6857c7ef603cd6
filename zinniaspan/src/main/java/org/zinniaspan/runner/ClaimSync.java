package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.ClaimSyncReply;
import org.zinniaspan.peer.proto.ClaimSyncRequest;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.HeldClaim;
import org.zinniaspan.peer.proto.VoterProcess;
import org.zinniaspan.peer.proto.VoterSet;

/**
 * Reads the claims of the other voters, and lets them read the own ones.
 *
 * <p>A voter answers only at its own revision of the list, below which it no longer votes. Not safe
 * for use by several threads.
 */
final class ClaimSync {

  private static final long FIRST_PERIOD_MS = 100;
  private static final long FIRST_PHASE_MS = 5_000;
  private static final long PERIOD_MS = 1_000;
  private static final int CLAIMS_PER_PART = 800;

  private record Parts(long reply, Set<Integer> received) {}

  private final Member self;
  private final ClaimMemory memory;
  private final VoterMaturity maturity;
  private final PeerLink link;
  private final Map<String, Parts> partsByVm = new HashMap<>();
  private long askedMs;
  private long nextReply;

  ClaimSync(Member self, ClaimMemory memory, VoterMaturity maturity, PeerLink link) {
    this.self = self;
    this.memory = memory;
    this.maturity = maturity;
    this.link = link;
  }

  /** Begins anew after the list has changed. */
  void restart() {
    askedMs = 0;
    partsByVm.clear();
  }

  /** Asks the other voters when that is due. */
  void tick(long nowMs) {
    boolean early = !maturity.isMature() && nowMs - maturity.adoptedMs() < FIRST_PHASE_MS;
    long periodMs = early ? FIRST_PERIOD_MS : PERIOD_MS;
    if (maturity.current().isEmpty() || nowMs - askedMs < periodMs) {
      return;
    }
    askedMs = nowMs;
    VoterList list = maturity.current().get();
    for (String vm : list.voters()) {
      if (!vm.equals(self.vm())) {
        ClaimSyncRequest request =
            ClaimSyncRequest.newBuilder()
                .setListRevision(list.revision())
                .setClaimsWanted(!maturity.isMature())
                .setAskedMs(nowMs)
                .build();
        link.send(vm, Envelope.newBuilder().setClaimSyncRequest(request));
      }
    }
  }

  /** Answers another voter that has the same list. */
  void onRequest(String vm, long incarnation, ClaimSyncRequest request, long nowMs) {
    maturity.learnProcess(vm, incarnation, nowMs);
    boolean sameList =
        maturity.current().filter(l -> l.revision() == request.getListRevision()).isPresent();
    if (!sameList) {
      return;
    }
    List<HeldClaim> claims = request.getClaimsWanted() ? memory.copy(nowMs) : List.of();
    int parts = Math.max(1, (claims.size() + CLAIMS_PER_PART - 1) / CLAIMS_PER_PART);
    nextReply++;
    for (int part = 0; part < parts; part++) {
      int end = Math.min(claims.size(), (part + 1) * CLAIMS_PER_PART);
      ClaimSyncReply.Builder reply = header(nowMs);
      reply.setAskedMs(request.getAskedMs()).setWithClaims(request.getClaimsWanted());
      reply.setPart(part).setParts(parts).setReply(nextReply);
      reply.addAllClaims(claims.subList(part * CLAIMS_PER_PART, end));
      link.send(vm, Envelope.newBuilder().setClaimSyncReply(reply));
    }
  }

  private ClaimSyncReply.Builder header(long nowMs) {
    ClaimSyncReply.Builder reply =
        ClaimSyncReply.newBuilder()
            .setListRevision(maturity.current().orElseThrow().revision())
            .setComplete(maturity.isComplete())
            .setProcessReplaced(maturity.processReplaced(nowMs));
    for (VoterMaturity.SeenList seen : maturity.lists(nowMs)) {
      reply.addLists(
          VoterSet.newBuilder()
              .setListRevision(seen.list().revision())
              .addAllVoters(seen.list().voters())
              .setAgeMs(nowMs - seen.seenMs()));
    }
    maturity
        .processes()
        .forEach(
            (vm, incarnation) ->
                reply.addProcesses(
                    VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation)));
    return reply;
  }

  /** Takes in a part of another voter's claims. */
  void onReply(String vm, long incarnation, ClaimSyncReply reply, long nowMs) {
    maturity.learnProcess(vm, incarnation, nowMs);
    boolean sameList =
        maturity.current().filter(l -> l.revision() == reply.getListRevision()).isPresent();
    if (!sameList || !maturity.isNewest(vm, incarnation)) {
      return;
    }
    maturity.heard(vm, reply.getAskedMs());
    learn(reply, nowMs);
    if (reply.getWithClaims() && memory.merge(reply.getClaimsList(), nowMs) && isWhole(vm, reply)) {
      maturity.replied(vm, incarnation, reply.getComplete());
    }
  }

  private void learn(ClaimSyncReply reply, long nowMs) {
    for (VoterProcess process : reply.getProcessesList()) {
      maturity.learnProcess(process.getVm(), process.getIncarnation(), nowMs);
    }
    if (reply.getProcessReplaced()) {
      maturity.markReplaced(nowMs);
    }
    for (VoterSet set : reply.getListsList()) {
      VoterList list = new VoterList(set.getListRevision(), set.getVotersList(), false);
      maturity.learnList(list, nowMs - set.getAgeMs());
    }
  }

  private boolean isWhole(String vm, ClaimSyncReply reply) {
    Parts parts = partsByVm.get(vm);
    if (parts == null || parts.reply() != reply.getReply()) {
      parts = new Parts(reply.getReply(), new HashSet<>());
      partsByVm.put(vm, parts);
    }
    parts.received().add(reply.getPart());
    return parts.received().size() == reply.getParts();
  }
}
