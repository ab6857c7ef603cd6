package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.PressureDemand;
import org.zinniaspan.forwarding.SharedPressure;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;
import org.zinniaspan.peer.proto.OrganisationWork;
import org.zinniaspan.peer.proto.RankDemand;
import org.zinniaspan.peer.proto.ServiceDemand;

/**
 * Sums the requests by rank and organisation over the VMs of a zone, and over the zones, at the
 * zone's observer. Nothing is sent while no VM has late requests. Not thread-safe.
 */
final class PressureExchange {

  /** Age up to which the requests of a VM or zone count, in milliseconds. */
  private static final long MAX_AGE_MS = 1_500;

  /** Shortest time between two sums at an observer for its own use, in milliseconds. */
  private static final long OWN_USE_INTERVAL_MS = 100;

  /** Largest number of ranks, services and organisations that are read of a message. */
  private static final int MAX_ENTRIES = 64;

  private record Entry(List<PressureDemand> demands, long atMs) {}

  private final SharedPressure own;
  private final Clock clock;
  private final Map<String, Entry> byMember = new HashMap<>();
  private final Map<String, Entry> byZone = new HashMap<>();
  private long nextOwnUseMs;

  PressureExchange(SharedPressure own, Clock clock) {
    this.own = own;
    this.clock = clock;
  }

  /** Adds this VM's requests to a query to its zone's observer. */
  void report(EngineQuery.Builder query) {
    query.addAllDemands(encode(own.own()));
  }

  /** Records the requests of a VM of this zone. */
  void onReported(EngineQuery query) {
    byMember.put(query.getSender(), new Entry(decode(query.getDemandsList()), clock.nowMs()));
  }

  /** Adds the sums over the VMs of this zone, and over those of all zones, to a reply. */
  void tell(EngineState.Builder state) {
    state.addAllZoneDemands(encode(zoneDemands())).addAllFleetDemands(encode(fleetDemands()));
  }

  /** Records the requests of all VMs of another zone. */
  void onZone(String zone, EngineState state) {
    byZone.put(zone, new Entry(decode(state.getZoneDemandsList()), clock.nowMs()));
  }

  /** Uses the sums over all VMs that the zone's observer knows. */
  void onFleet(EngineState state) {
    own.onFleet(decode(state.getFleetDemandsList()));
  }

  /** Uses the sums that this VM knows itself as its zone's observer. */
  void useOwnSums() {
    if (clock.nowMs() >= nextOwnUseMs) {
      nextOwnUseMs = clock.nowMs() + OWN_USE_INTERVAL_MS;
      own.onFleet(fleetDemands());
    }
  }

  private List<PressureDemand> zoneDemands() {
    List<PressureDemand> all = new ArrayList<>(own.own());
    addFresh(byMember, all);
    return PressureDemand.sum(all);
  }

  private List<PressureDemand> fleetDemands() {
    List<PressureDemand> all = new ArrayList<>(zoneDemands());
    addFresh(byZone, all);
    return PressureDemand.sum(all);
  }

  private void addFresh(Map<String, Entry> entries, List<PressureDemand> all) {
    long now = clock.nowMs();
    entries.values().removeIf(entry -> now - entry.atMs() > MAX_AGE_MS);
    for (Entry entry : entries.values()) {
      entry.demands().forEach(demand -> all.add(demand.olderBy(now - entry.atMs())));
    }
  }

  private static List<ServiceDemand> encode(List<PressureDemand> demands) {
    return demands.stream().map(PressureExchange::encode).toList();
  }

  private static ServiceDemand encode(PressureDemand demand) {
    ServiceDemand.Builder encoded = ServiceDemand.newBuilder().setService(demand.service());
    demand.ranks().forEach((rank, value) -> encoded.addRanks(encode(rank, value)));
    return encoded.build();
  }

  private static RankDemand encode(int rank, PressureDemand.Rank value) {
    RankDemand.Builder encoded =
        RankDemand.newBuilder()
            .setRank(rank)
            .setOffered((float) value.offered())
            .setLate((float) value.late())
            .setAdmittedAgeMs(Math.min(MAX_AGE_MS, value.admittedAgeMs()))
            .setOtherWork((float) value.otherWork())
            .setOthers(value.others());
    value
        .work()
        .forEach(
            (name, work) ->
                encoded.addOrganisations(
                    OrganisationWork.newBuilder().setName(name).setWork(work.floatValue())));
    return encoded.build();
  }

  private static List<PressureDemand> decode(List<ServiceDemand> demands) {
    return demands.stream().limit(MAX_ENTRIES).map(PressureExchange::decode).toList();
  }

  private static PressureDemand decode(ServiceDemand demand) {
    Map<Integer, PressureDemand.Rank> ranks = new HashMap<>();
    demand.getRanksList().stream()
        .limit(MAX_ENTRIES)
        .forEach(rank -> ranks.put(rank.getRank(), decode(rank)));
    return new PressureDemand(demand.getService(), ranks);
  }

  private static PressureDemand.Rank decode(RankDemand rank) {
    Map<String, Double> work = new HashMap<>();
    rank.getOrganisationsList().stream()
        .limit(MAX_ENTRIES)
        .forEach(o -> work.put(o.getName(), plausible(o.getWork())));
    return new PressureDemand.Rank(
        plausible(rank.getOffered()),
        plausible(rank.getLate()),
        Math.max(0, rank.getAdmittedAgeMs()),
        work,
        plausible(rank.getOtherWork()),
        Math.max(0, Math.min(MAX_ENTRIES, rank.getOthers())));
  }

  private static double plausible(double value) {
    return Double.isFinite(value) ? Math.max(0, value) : 0;
  }
}
