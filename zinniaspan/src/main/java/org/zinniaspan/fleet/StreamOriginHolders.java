package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Determines which VMs keep the origin of a stream besides the one that began it.
 *
 * <p>They are found by rendezvous hashing of the attempt's id over the live VMs of the availability
 * zone, so that a VM that receives the client's next attempt knows whom to query. Not thread-safe.
 */
final class StreamOriginHolders {

  /** Number of other VMs that keep an origin. */
  static final int COPIES = 2;

  /** Number of VMs that are queried: the holders may be ranked with or without the first VM. */
  static final int QUERIED = COPIES + 1;

  /** Time for which a VM that did not confirm an update is passed over, in milliseconds. */
  private static final long NO_REPLY_MS = 5_000;

  private final FleetMembership members;
  private final SuspectVms suspects;

  StreamOriginHolders(FleetMembership members, Clock clock) {
    this.members = members;
    this.suspects = new SuspectVms(clock);
  }

  /**
   * Returns the VMs to which an origin is copied: those of this zone, and if there are too few,
   * representatives of other zones.
   */
  List<String> copyTargets(String attemptId) {
    Set<String> candidates = others();
    candidates.removeIf(suspects::contains);
    Set<String> targets = new LinkedHashSet<>(RendezvousHash.ranked(attemptId, candidates, COPIES));
    if (targets.size() < COPIES) {
      representatives().stream().filter(vm -> !suspects.contains(vm)).forEach(targets::add);
    }
    return targets.stream().limit(COPIES).toList();
  }

  /** Returns the VMs of this zone that are queried for an origin. */
  List<String> queried(String attemptId) {
    return RendezvousHash.ranked(attemptId, others(), QUERIED);
  }

  /** Returns whether other VMs of this zone query this one for the origin of an attempt. */
  boolean isQueried(String attemptId) {
    Set<String> candidates = others();
    candidates.add(members.self());
    return RendezvousHash.ranked(attemptId, candidates, QUERIED).contains(members.self());
  }

  /** Returns the first VM in rank of each other zone. */
  List<String> representatives() {
    List<String> first = new ArrayList<>();
    for (String zone : members.zones()) {
      if (!zone.equals(members.zone())) {
        first.addAll(
            RendezvousHash.ranked(FleetMembership.REPRESENTATIVE_ROLE, members.live(zone), 1));
      }
    }
    return first;
  }

  /** Passes a VM over for a while, as it did not confirm an update. */
  void suspect(String address) {
    suspects.add(address, NO_REPLY_MS);
  }

  private Set<String> others() {
    Set<String> others = new LinkedHashSet<>(members.live(members.zone()));
    others.remove(members.self());
    return others;
  }
}
