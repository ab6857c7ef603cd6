package org.zinniaspan.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EvacuatedZones;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.peer.proto.CatalogEndpoint;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.CatalogState;
import org.zinniaspan.peer.proto.EvacuatedZonesState;

/**
 * Answers the catalog queries of other VMs from what this VM knows.
 *
 * <p>A query is held until the version, the list or the evacuated zones change, until this VM can
 * no longer confirm the version, or until the query's wait has passed. Not thread-safe.
 */
public final class CatalogService implements Ticking {

  /** Longest time for which a query is held, in milliseconds. */
  private static final long MAX_WAIT_MS = 5_000;

  /** Largest routing table that is sent to other VMs, in bytes. */
  private static final int MAX_TABLE_BYTES = 64 * 1024;

  private record HeldQuery(CatalogQuery query, long arrivedMs, Consumer<CatalogState> responder) {}

  private final CatalogFollower follower;
  private final TableFreshness freshness;
  private final EndpointDirectory directory;
  private final Clock clock;
  private final long epoch;
  private final List<HeldQuery> held = new ArrayList<>();
  private boolean stopped;

  /**
   * Creates a service without queries.
   *
   * @param epoch number of this process that no other one has
   */
  public CatalogService(
      CatalogFollower follower,
      TableFreshness freshness,
      EndpointDirectory directory,
      Clock clock,
      long epoch) {
    this.follower = follower;
    this.freshness = freshness;
    this.directory = directory;
    this.clock = clock;
    this.epoch = epoch;
  }

  /** Answers a query, now or later; the responder is called once. */
  public void onQuery(CatalogQuery query, Consumer<CatalogState> responder) {
    HeldQuery entry = new HeldQuery(query, clock.nowMs(), responder);
    if (isDue(entry)) {
      respond(entry);
    } else {
      held.add(entry);
    }
  }

  /** Answers all queries from now on at once and without a confirmation. */
  public void stop() {
    stopped = true;
  }

  @Override
  public void tick() {
    List<HeldQuery> due = held.stream().filter(this::isDue).toList();
    held.removeAll(due);
    due.forEach(this::respond);
  }

  private boolean isDue(HeldQuery entry) {
    CatalogQuery query = entry.query();
    return clock.nowMs() - entry.arrivedMs() >= Math.min(MAX_WAIT_MS, query.getWaitMs())
        || version() > query.getVersion()
        || !hasList(query)
        || hasOlderEvacuations(query)
        || !canConfirm();
  }

  private boolean hasList(CatalogQuery query) {
    return query.getListEpoch() == epoch && query.getListSequence() == directory.changeCount();
  }

  /** Returns whether the query states evacuated zones that this VM knows to have changed. */
  private boolean hasOlderEvacuations(CatalogQuery query) {
    EvacuatedZones known = follower.evacuatedZones();
    EvacuatedZonesState stated = query.getEvacuatedZones();
    return query.hasEvacuatedZones()
        && known.revision().compareTo(CatalogSharing.revision(stated)) > 0
        && !known.zones().equals(Set.copyOf(stated.getZonesList()));
  }

  private long version() {
    return follower.table().map(RoutingTable::version).orElse(-1L);
  }

  private boolean canConfirm() {
    return !stopped
        && follower.table().isPresent()
        && follower.isListComplete()
        && follower.isAnswering()
        && freshness.isFresh();
  }

  private void respond(HeldQuery entry) {
    CatalogState.Builder state =
        CatalogState.newBuilder()
            .setVersion(version())
            .setHeldMs(clock.nowMs() - entry.arrivedMs())
            .setConfirmationAgeMs(freshness.ageMs());
    // The clocks are compared after the ages were taken: a suspension before that shows.
    state.setConfirmed(canConfirm());
    follower
        .table()
        .filter(table -> table.version() > entry.query().getVersion())
        .map(RoutingTable::document)
        .filter(document -> document.length <= MAX_TABLE_BYTES)
        .ifPresent(document -> state.setTable(ByteString.copyFrom(document)));
    CatalogSharing.encode(follower.evacuatedZones()).ifPresent(state::setEvacuatedZones);
    if (follower.isListComplete()) {
      state
          .setRevision(follower.revision().number())
          .setStoreEpoch(follower.revision().epoch())
          .setListEpoch(epoch)
          .setListCurrent(directory.isListCurrent())
          .setListSequence(directory.changeCount());
      if (!hasList(entry.query())) {
        state.setListIncluded(true);
        directory.entries().forEach(listed -> state.addEndpoints(encode(listed)));
      }
    }
    entry.responder().accept(state.build());
  }

  private static CatalogEndpoint encode(ListedEndpoint listed) {
    CatalogEndpoint.Builder entry = CatalogEndpoint.newBuilder();
    listed.coldRemainingMs().ifPresent(entry::setColdForMs);
    return entry
        .setId(listed.id())
        .setService(listed.service())
        .setAddress(listed.address())
        .setZone(listed.zone())
        .setSoftwareVersion(listed.softwareVersion())
        .setSlots(listed.slots())
        .setDraining(listed.draining())
        .setStartedAtMs(listed.startedAtMs())
        .build();
  }
}
