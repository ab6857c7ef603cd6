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
 * Synchronises claims between the voters of a zone: reads those of the other voters and sends its
 * own on request.
 *
 * <p>A voter replies only to requests at its own revision of the list, and no longer votes at
 * earlier revisions. Not thread-safe.
 */
final class ClaimSync {

  private static final long INITIAL_PERIOD_MS = 100;
  private static final long INITIAL_PHASE_MS = 5_000;
  private static final long PERIOD_MS = 1_000;
  private static final int CLAIMS_PER_PART = 800;

  private record ReceivedParts(long replyNumber, Set<Integer> numbers) {}

  private final Member self;
  private final ClaimTable claims;
  private final VoterEligibility eligibility;
  private final PeerLink link;
  private final Map<String, ReceivedParts> partsByVm = new HashMap<>();
  private long lastRequestMs;
  private long lastReplyNumber;

  ClaimSync(Member self, ClaimTable claims, VoterEligibility eligibility, PeerLink link) {
    this.self = self;
    this.claims = claims;
    this.eligibility = eligibility;
    this.link = link;
  }

  /** Restarts the synchronisation after the list has changed. */
  void restart() {
    lastRequestMs = 0;
    partsByVm.clear();
  }

  /** Sends requests to the other voters if the request period has passed. */
  void tick(long nowMs) {
    boolean early = !eligibility.isCaughtUp() && nowMs - eligibility.adoptedMs() < INITIAL_PHASE_MS;
    long periodMs = early ? INITIAL_PERIOD_MS : PERIOD_MS;
    if (eligibility.current().isEmpty() || nowMs - lastRequestMs < periodMs) {
      return;
    }
    lastRequestMs = nowMs;
    VoterList list = eligibility.current().get();
    for (String vm : list.voters()) {
      if (!vm.equals(self.vm())) {
        ClaimSyncRequest request =
            ClaimSyncRequest.newBuilder()
                .setListRevision(list.revision())
                .setClaimsWanted(!eligibility.isCaughtUp())
                .setAskedMs(nowMs)
                .build();
        link.send(vm, Envelope.newBuilder().setClaimSyncRequest(request));
      }
    }
  }

  /** Replies to another voter that has the same revision of the list, in parts of limited size. */
  void onRequest(String vm, long incarnation, ClaimSyncRequest request, long nowMs) {
    eligibility.recordProcess(vm, incarnation, nowMs);
    boolean sameList =
        eligibility
            .current()
            .filter(list -> list.revision() == request.getListRevision())
            .isPresent();
    if (!sameList) {
      return;
    }
    List<HeldClaim> snapshot = request.getClaimsWanted() ? claims.snapshot(nowMs) : List.of();
    int parts = Math.max(1, (snapshot.size() + CLAIMS_PER_PART - 1) / CLAIMS_PER_PART);
    lastReplyNumber++;
    for (int part = 0; part < parts; part++) {
      int end = Math.min(snapshot.size(), (part + 1) * CLAIMS_PER_PART);
      ClaimSyncReply.Builder reply = header(nowMs);
      reply.setAskedMs(request.getAskedMs()).setWithClaims(request.getClaimsWanted());
      reply.setPart(part).setParts(parts).setReply(lastReplyNumber);
      reply.addAllClaims(snapshot.subList(part * CLAIMS_PER_PART, end));
      link.send(vm, Envelope.newBuilder().setClaimSyncReply(reply));
    }
  }

  private ClaimSyncReply.Builder header(long nowMs) {
    ClaimSyncReply.Builder reply =
        ClaimSyncReply.newBuilder()
            .setListRevision(eligibility.current().orElseThrow().revision())
            .setComplete(eligibility.isComplete())
            .setProcessReplaced(eligibility.isProcessReplaced(nowMs));
    for (VoterEligibility.SeenList seen : eligibility.lists(nowMs)) {
      reply.addLists(
          VoterSet.newBuilder()
              .setListRevision(seen.list().revision())
              .addAllVoters(seen.list().voters())
              .setAgeMs(nowMs - seen.seenMs()));
    }
    eligibility
        .processes()
        .forEach(
            (vm, incarnation) ->
                reply.addProcesses(
                    VoterProcess.newBuilder().setVm(vm).setIncarnation(incarnation)));
    return reply;
  }

  /** Handles one part of another voter's reply. */
  void onReply(String vm, long incarnation, ClaimSyncReply reply, long nowMs) {
    eligibility.recordProcess(vm, incarnation, nowMs);
    boolean sameList =
        eligibility
            .current()
            .filter(list -> list.revision() == reply.getListRevision())
            .isPresent();
    if (!sameList || !eligibility.isNewest(vm, incarnation)) {
      return;
    }
    eligibility.recordContact(vm, reply.getAskedMs());
    recordListsAndProcesses(reply, nowMs);
    if (reply.getWithClaims()
        && claims.merge(reply.getClaimsList(), nowMs)
        && completesReply(vm, reply)) {
      eligibility.recordReply(vm, incarnation, reply.getComplete());
    }
  }

  private void recordListsAndProcesses(ClaimSyncReply reply, long nowMs) {
    for (VoterProcess process : reply.getProcessesList()) {
      eligibility.recordProcess(process.getVm(), process.getIncarnation(), nowMs);
    }
    if (reply.getProcessReplaced()) {
      eligibility.recordReplacement(nowMs);
    }
    for (VoterSet set : reply.getListsList()) {
      VoterList list = new VoterList(set.getListRevision(), set.getVotersList(), false);
      eligibility.recordList(list, nowMs - set.getAgeMs());
    }
  }

  private boolean completesReply(String vm, ClaimSyncReply reply) {
    ReceivedParts parts = partsByVm.get(vm);
    if (parts == null || parts.replyNumber() != reply.getReply()) {
      parts = new ReceivedParts(reply.getReply(), new HashSet<>());
      partsByVm.put(vm, parts);
    }
    parts.numbers().add(reply.getPart());
    return parts.numbers().size() == reply.getParts();
  }
}
