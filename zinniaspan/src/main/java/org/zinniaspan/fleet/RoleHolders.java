package org.zinniaspan.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Determines which VM of an availability zone holds a role, as this VM sees it.
 *
 * <p>The live VMs of the zone are ranked by rendezvous hashing; the first holds the role. A VM that
 * did not reply, or whose reply was of no use, is passed over for a while, so that a failed holder
 * is replaced at the first unanswered message. VMs may disagree about a holder; what they learn
 * from each other must not depend on their agreement. Not thread-safe.
 */
final class RoleHolders {

  /** Time for which a VM that did not reply is passed over, in milliseconds. */
  static final long NO_REPLY_MS = 5_000;

  /** Time for which a VM whose reply was of no use is passed over, in milliseconds. */
  static final long UNFIT_MS = 1_500;

  /** Longest time for which a ranking is kept, in milliseconds. */
  private static final long RANKING_AGE_MS = 200;

  private record Ranking(List<String> addresses, long revision, long atMs) {}

  private final String role;
  private final FleetMembership members;
  private final Clock clock;
  private final SuspectVms suspects;
  private final Map<String, Ranking> rankings = new HashMap<>();

  RoleHolders(String role, FleetMembership members, Clock clock) {
    this.role = role;
    this.members = members;
    this.clock = clock;
    this.suspects = new SuspectVms(clock);
  }

  /** Returns whether this VM holds the role in its own zone. */
  boolean isSelf() {
    return holder(members.zone()).equals(Optional.of(members.self()));
  }

  /** Returns the VM that holds the role in a zone; empty if none is known that is not suspected. */
  Optional<String> holder(String zone) {
    return ranked(zone).stream().filter(address -> !suspects.contains(address)).findFirst();
  }

  /** Returns the first VM in rank of this VM's zone other than itself that is not suspected. */
  Optional<String> other() {
    return ranked(members.zone()).stream()
        .filter(address -> !address.equals(members.self()) && !suspects.contains(address))
        .findFirst();
  }

  /** Returns the rank of this VM among the live VMs of its zone; 0 is the first. */
  int ownRank() {
    return ranked(members.zone()).indexOf(members.self());
  }

  /** Passes a VM over for a time in milliseconds. */
  void suspect(String address, long forMs) {
    suspects.add(address, forMs);
  }

  private List<String> ranked(String zone) {
    Ranking known = rankings.get(zone);
    if (known == null || clock.nowMs() - known.atMs() > RANKING_AGE_MS) {
      known = new Ranking(rank(zone, known), members.revision(), clock.nowMs());
      rankings.put(zone, known);
    }
    return known.addresses();
  }

  private List<String> rank(String zone, Ranking known) {
    if (known != null && known.revision() == members.revision()) {
      return known.addresses();
    }
    List<String> live = members.live(zone);
    return RendezvousHash.ranked(role, live, live.size());
  }
}
