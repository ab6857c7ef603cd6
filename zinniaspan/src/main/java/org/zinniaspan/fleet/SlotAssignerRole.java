package org.zinniaspan.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Determines which VM assigns the slots of a service's endpoints in an availability zone, as this
 * VM sees it: the first in rank of the VMs that all zones know, unless it does not reply.
 */
final class SlotAssignerRole {

  /** Time for which a VM that does not reply or assign is passed over, in milliseconds. */
  private static final long SUSPECT_MS = 5_000;

  /** Number of VMs of a zone that VMs of all zones know. */
  private static final int CANDIDATES = 3;

  /** Longest time for which a ranking is kept, in milliseconds. */
  private static final long RANKING_AGE_MS = 200;

  /** Time for which the VMs of a zone are expected back after all of them were lost. */
  private static final long ZONE_LOSS_MS = 60_000;

  /** Interval in which zones are looked for, in milliseconds. */
  private static final long ZONES_INTERVAL_MS = 500;

  private record Key(String zone, String service) {}

  private record Ranking(List<String> addresses, long atMs) {}

  private final FleetMembership members;
  private final Clock clock;
  private final SuspectVms suspects;
  private final Map<Key, Ranking> rankings = new HashMap<>();
  private final Map<String, Long> zoneSeenMs = new TreeMap<>();
  private final Map<String, String> assigningZones = new HashMap<>();
  private long nextZonesMs = Long.MIN_VALUE;

  SlotAssignerRole(FleetMembership members, Clock clock) {
    this.members = members;
    this.clock = clock;
    this.suspects = new SuspectVms(clock);
  }

  /** Looks for the zones that have VMs. */
  void tick() {
    long now = clock.nowMs();
    if (now < nextZonesMs) {
      return;
    }
    nextZonesMs = now + ZONES_INTERVAL_MS;
    assigningZones.clear();
    zoneSeenMs.values().removeIf(ms -> now - ms > ZONE_LOSS_MS);
    for (String zone : members.zones()) {
      if (!ranked(zone, "").isEmpty()) {
        zoneSeenMs.put(zone, now);
      }
    }
  }

  /**
   * Returns the zone whose VMs assign the slots of a zone's endpoints: the same one, also while its
   * VMs are out of reach, or another one if it has no VMs; empty if no zone has any.
   */
  Optional<String> assigningZone(String zone) {
    if (zoneSeenMs.containsKey(zone)) {
      return Optional.of(zone);
    }
    String other =
        assigningZones.computeIfAbsent(
            zone,
            key ->
                RendezvousHash.ranked(key, zoneSeenMs.keySet(), 1).stream().findFirst().orElse(""));
    return Optional.of(other).filter(found -> !found.isEmpty());
  }

  /** Returns the VMs of a zone that may assign slots of a service, in rank order. */
  List<String> ranked(String zone, String service) {
    Key key = new Key(zone, service);
    Ranking known = rankings.get(key);
    if (known == null || clock.nowMs() - known.atMs() > RANKING_AGE_MS) {
      List<String> candidates =
          RendezvousHash.ranked(FleetMembership.REPRESENTATIVE_ROLE, members.live(zone), CANDIDATES)
              .stream()
              .filter(members::canAssignSlots)
              .toList();
      known =
          new Ranking(RendezvousHash.ranked(service, candidates, candidates.size()), clock.nowMs());
      rankings.put(key, known);
    }
    return known.addresses();
  }

  /** Returns the VM that assigns the slots; empty if none is known that is not suspected. */
  Optional<String> assigner(String zone, String service) {
    return ranked(zone, service).stream().filter(vm -> !suspects.contains(vm)).findFirst();
  }

  /** Returns whether this VM assigns the slots of its zone. */
  boolean isSelf(String service) {
    return assigner(members.zone(), service).equals(Optional.of(members.self()));
  }

  /** Passes a VM over for a while. */
  void suspect(String address) {
    suspects.add(address, SUSPECT_MS);
  }

  /** Takes a VM into account, of which another one stated that it assigns slots. */
  void trust(String address, String zone) {
    suspects.remove(address);
    members.addSlotAssigner(address, zone);
    rankings.keySet().removeIf(key -> key.zone().equals(zone));
  }
}
