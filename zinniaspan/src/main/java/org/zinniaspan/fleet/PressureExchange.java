package org.zinniaspan.fleet;

import com.google.protobuf.UnknownFieldSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.PressureDemand;
import org.zinniaspan.forwarding.SharedPressure;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;

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

  private static final int QUERY_DEMANDS = 11;
  private static final int STATE_ZONE_DEMANDS = 11;
  private static final int STATE_FLEET_DEMANDS = 12;
  private static final int DEMAND_SERVICE = 1;
  private static final int DEMAND_RANKS = 2;
  private static final int RANK = 1;
  private static final int RANK_OFFERED = 2;
  private static final int RANK_LATE = 3;
  private static final int RANK_ADMITTED_AGE_MS = 4;
  private static final int RANK_ORGANISATIONS = 5;
  private static final int RANK_OTHER_WORK = 6;
  private static final int RANK_OTHERS = 7;
  private static final int ORGANISATION_NAME = 1;
  private static final int ORGANISATION_WORK = 2;

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
    query.mergeUnknownFields(encode(QUERY_DEMANDS, own.own()).build());
  }

  /** Records the requests of a VM of this zone. */
  void onReported(EngineQuery query) {
    List<PressureDemand> demands =
        decode(ExtensionFields.of(query.getUnknownFields()), QUERY_DEMANDS);
    byMember.put(query.getSender(), new Entry(demands, clock.nowMs()));
  }

  /** Adds the sums over the VMs of this zone, and over those of all zones, to a reply. */
  void tell(EngineState.Builder state) {
    UnknownFieldSet zone = encode(STATE_ZONE_DEMANDS, zoneDemands()).build();
    UnknownFieldSet fleet = encode(STATE_FLEET_DEMANDS, fleetDemands()).build();
    state.mergeUnknownFields(zone).mergeUnknownFields(fleet);
  }

  /** Records the requests of all VMs of another zone. */
  void onZone(String zone, EngineState state) {
    List<PressureDemand> demands =
        decode(ExtensionFields.of(state.getUnknownFields()), STATE_ZONE_DEMANDS);
    byZone.put(zone, new Entry(demands, clock.nowMs()));
  }

  /** Uses the sums over all VMs that the zone's observer knows. */
  void onFleet(EngineState state) {
    own.onFleet(decode(ExtensionFields.of(state.getUnknownFields()), STATE_FLEET_DEMANDS));
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

  private static ExtensionFields.Builder encode(int field, List<PressureDemand> demands) {
    ExtensionFields.Builder fields = new ExtensionFields.Builder();
    for (PressureDemand demand : demands) {
      ExtensionFields.Builder entry =
          new ExtensionFields.Builder().text(DEMAND_SERVICE, demand.service());
      demand.ranks().forEach((rank, value) -> entry.message(DEMAND_RANKS, encode(rank, value)));
      fields.message(field, entry);
    }
    return fields;
  }

  private static ExtensionFields.Builder encode(int rank, PressureDemand.Rank value) {
    ExtensionFields.Builder entry =
        new ExtensionFields.Builder()
            .integer(RANK, rank)
            .number(RANK_OFFERED, value.offered())
            .number(RANK_LATE, value.late())
            .integer(RANK_ADMITTED_AGE_MS, Math.min(MAX_AGE_MS, value.admittedAgeMs()))
            .number(RANK_OTHER_WORK, value.otherWork())
            .integer(RANK_OTHERS, value.others());
    value
        .work()
        .forEach(
            (name, work) ->
                entry.message(
                    RANK_ORGANISATIONS,
                    new ExtensionFields.Builder()
                        .text(ORGANISATION_NAME, name)
                        .number(ORGANISATION_WORK, work)));
    return entry;
  }

  private static List<PressureDemand> decode(ExtensionFields fields, int field) {
    return fields.messages(field).stream()
        .limit(MAX_ENTRIES)
        .map(PressureExchange::decode)
        .toList();
  }

  private static PressureDemand decode(ExtensionFields entry) {
    Map<Integer, PressureDemand.Rank> ranks = new HashMap<>();
    entry.messages(DEMAND_RANKS).stream()
        .limit(MAX_ENTRIES)
        .forEach(rank -> ranks.put((int) rank.integer(RANK), decodeRank(rank)));
    return new PressureDemand(entry.text(DEMAND_SERVICE), ranks);
  }

  private static PressureDemand.Rank decodeRank(ExtensionFields entry) {
    Map<String, Double> work = new HashMap<>();
    entry.messages(RANK_ORGANISATIONS).stream()
        .limit(MAX_ENTRIES)
        .forEach(o -> work.put(o.text(ORGANISATION_NAME), plausible(o.number(ORGANISATION_WORK))));
    long others = Math.max(0, Math.min(MAX_ENTRIES, entry.integer(RANK_OTHERS)));
    return new PressureDemand.Rank(
        plausible(entry.number(RANK_OFFERED)),
        plausible(entry.number(RANK_LATE)),
        Math.max(0, entry.integer(RANK_ADMITTED_AGE_MS)),
        work,
        plausible(entry.number(RANK_OTHER_WORK)),
        (int) others);
  }

  private static double plausible(double value) {
    return Double.isFinite(value) ? Math.max(0, value) : 0;
  }
}
