package org.zinniaspan.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.forwarding.EndpointChange;
import org.zinniaspan.forwarding.EndpointPage;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.OperatorState;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StoreRevision;
import org.zinniaspan.forwarding.ZoneEvacuation;

/** The platform's store in a simulation: one configuration version and a list of endpoints. */
final class SimulatedStore {

  static final String NAME = "store";

  /** Time for which changes can be read, in milliseconds. */
  private static final long HISTORY_MS = 20_000;

  private final Map<String, ListedEndpoint> endpoints = new TreeMap<>();
  private final LongSupplier nowMs;
  private final List<Long> versionStartsMs = new ArrayList<>();
  private final Map<Long, EndpointChange> history = new TreeMap<>();
  private final TreeMap<Long, Long> changedMs = new TreeMap<>();
  private final Map<Long, Long> versionRevisions = new TreeMap<>();
  private final Set<String> evacuated = new HashSet<>();
  private final Map<Long, ZoneEvacuation> evacuations = new TreeMap<>();
  final Set<String> refused = new HashSet<>();
  boolean down;
  long calls;
  private long revision = 100;
  private long epoch = 1;

  SimulatedStore(LongSupplier nowMs) {
    this.nowMs = nowMs;
    versionStartsMs.add(nowMs.getAsLong());
  }

  /** Goes back to a copy: the changes since are gone, and their revisions are given out again. */
  void restore(long atRevision) {
    epoch++;
    history.keySet().removeIf(number -> number > atRevision);
    versionRevisions.keySet().removeIf(number -> number > atRevision);
    changedMs.keySet().removeIf(number -> number > atRevision);
    evacuations.keySet().removeIf(number -> number > atRevision);
    evacuated.clear();
    evacuations.values().forEach(this::applyEvacuation);
    endpoints.clear();
    history.values().forEach(change -> apply(change));
    revision = atRevision;
  }

  private void apply(EndpointChange change) {
    if (change instanceof EndpointChange.Listed listed) {
      endpoints.put(change.id(), listed.endpoint());
    } else {
      endpoints.remove(change.id());
    }
  }

  /** Requests the evacuation of a zone, or takes the request back. */
  void evacuate(String zone, boolean requested) {
    long at = nextRevision();
    ZoneEvacuation change = new ZoneEvacuation(zone, requested, new StoreRevision(epoch, at));
    evacuations.put(at, change);
    applyEvacuation(change);
  }

  private void applyEvacuation(ZoneEvacuation change) {
    if (change.evacuated()) {
      evacuated.add(change.zone());
    } else {
      evacuated.remove(change.zone());
    }
  }

  long revision() {
    return revision;
  }

  private StoreRevision at() {
    return new StoreRevision(epoch, revision);
  }

  long version() {
    return versionStartsMs.size();
  }

  void publish() {
    versionStartsMs.add(nowMs.getAsLong());
    versionRevisions.put(nextRevision(), version());
  }

  /** Returns the time until which a version was the newest one. */
  long supersededMs(long version) {
    return version >= version() ? Long.MAX_VALUE : versionStartsMs.get((int) version);
  }

  void put(ListedEndpoint entry) {
    endpoints.put(entry.id(), entry);
    history.put(nextRevision(), new EndpointChange.Listed(entry));
  }

  void remove(String id) {
    endpoints.remove(id);
    history.put(nextRevision(), new EndpointChange.Removed(id));
  }

  private long nextRevision() {
    changedMs.put(++revision, nowMs.getAsLong());
    return revision;
  }

  /** Returns whether changes after a revision are too old to be read. */
  private boolean isHistoryLost(long afterRevision) {
    Map.Entry<Long, Long> next = changedMs.higherEntry(afterRevision);
    return next != null && next.getValue() < nowMs.getAsLong() - HISTORY_MS;
  }

  CatalogResult<OperatorState> readOperatorState() {
    OperatorState state = new OperatorState(Optional.of(table()), evacuated);
    return new CatalogResult.Read<>(state, at());
  }

  CatalogResult<List<EndpointPage>> readEndpoints() {
    EndpointPage page = new EndpointPage(List.copyOf(endpoints.values()), at());
    return new CatalogResult.Read<>(List.of(page), at());
  }

  /**
   * Returns whether there are changes after a revision, or it is one that was not given out yet.
   */
  boolean hasChanges(long afterRevision) {
    return revision != afterRevision;
  }

  /** Returns the changes to the list of endpoints after a revision. */
  CatalogResult<List<CatalogChanges.AtRevision>> readEndpointChanges(long afterRevision) {
    return readChanges(afterRevision) instanceof CatalogResult.Read<CatalogChanges> read
        ? new CatalogResult.Read<>(read.value().endpoints(), read.revision())
        : new CatalogResult.HistoryLost<>();
  }

  /** Returns the changes after a revision. */
  CatalogResult<CatalogChanges> readChanges(long afterRevision) {
    if (afterRevision > revision || isHistoryLost(afterRevision)) {
      return new CatalogResult.HistoryLost<>();
    }
    List<CatalogChanges.AtRevision> changes = new ArrayList<>();
    history.forEach(
        (number, change) -> {
          if (number > afterRevision) {
            changes.add(new CatalogChanges.AtRevision(new StoreRevision(epoch, number), change));
          }
        });
    boolean newTable = versionRevisions.keySet().stream().anyMatch(r -> r > afterRevision);
    Optional<RoutingTable> table = newTable ? Optional.of(table()) : Optional.empty();
    return new CatalogResult.Read<>(
        new CatalogChanges(table, changes, evacuationsAfter(afterRevision)), at());
  }

  private List<ZoneEvacuation> evacuationsAfter(long afterRevision) {
    return evacuations.values().stream()
        .filter(change -> change.revision().number() > afterRevision)
        .toList();
  }

  private RoutingTable table() {
    return new RoutingTable(
        version(),
        List.of(),
        Map.of(),
        Map.of(),
        true,
        InboundLimits.DEFAULT,
        Long.toString(version()).getBytes(StandardCharsets.US_ASCII));
  }
}
