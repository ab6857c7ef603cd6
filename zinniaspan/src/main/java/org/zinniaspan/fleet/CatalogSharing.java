package org.zinniaspan.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EvacuatedZones;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StoreRevision;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.CatalogEndpoint;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.CatalogState;
import org.zinniaspan.peer.proto.EvacuatedZonesState;

/**
 * Keeps this VM's configuration and endpoints up to date through the VM of its availability zone
 * that reads the platform, or reads the platform for the others.
 *
 * <p>The reader's answer tells which version it confirmed and how long ago the confirming read
 * began. The age is counted from the sending of the query, plus the time for which the reader says
 * that it held it; so delays of messages make a confirmation look older, never younger. A reader
 * that does not answer, or cannot confirm, is passed over, and the next VM in rank takes its place.
 * A new version comes with the answer; a large one is read from the platform itself, so that the
 * reader's link stays free. Not thread-safe.
 */
public final class CatalogSharing implements Ticking {

  private static final String ROLE = "platform-reader";

  /** Time for which the reader may hold a query, in milliseconds. */
  private static final long WAIT_MS = 1_000;

  /** Time beyond the wait until a query has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 250;

  /**
   * Number of VMs of a zone, by rank, that read the platform when those before them fail; it bounds
   * the calls while the platform serves nobody.
   */
  private static final int READERS = 3;

  /**
   * Time before a confirmation expires at which a VM reads the platform whatever its rank, in
   * milliseconds.
   */
  private static final long LAST_RESORT_MS = 1_400;

  /** Shortest time between two queries of this VM, in milliseconds. */
  private static final long MIN_QUERY_INTERVAL_MS = 50;

  private final CatalogFollower follower;
  private final TableFreshness freshness;
  private final PlatformBounds bounds;
  private final FleetMembership members;
  private final RoleHolders holders;
  private final PeerClient peers;
  private final Clock clock;
  private boolean querying;
  private long nextQueryMs;
  private long listEpoch;
  private long listSequence;
  private boolean passive;

  /** Creates a sharing that has not found a reader yet. */
  public CatalogSharing(
      CatalogFollower follower,
      TableFreshness freshness,
      PlatformBounds bounds,
      FleetMembership members,
      PeerClient peers,
      Clock clock) {
    this.follower = follower;
    this.freshness = freshness;
    this.bounds = bounds;
    this.members = members;
    this.holders = new RoleHolders(ROLE, members, clock);
    this.peers = peers;
    this.clock = clock;
  }

  /** Returns whether this VM reads the platform itself. */
  public boolean isReading() {
    return !passive;
  }

  @Override
  public void tick() {
    boolean reads = isReader();
    if (passive == reads) {
      passive = !reads;
      EventLog.event("platform-reader")
          .with("reads", reads)
          .with("reader", holders.holder(members.zone()).orElse("none"))
          .with("confirmationAgeMs", freshness.ageMs())
          .info();
    }
    follower.setPassive(passive);
    follower.tick();
    boolean helpNeeded = passive || !follower.isAnswering();
    if (helpNeeded && !querying && clock.nowMs() >= nextQueryMs) {
      holders.other().ifPresent(this::query);
    }
  }

  /**
   * Returns whether this VM has to read the platform: it holds the role, or none of the VMs before
   * it is of use.
   */
  private boolean isReader() {
    int rank = holders.ownRank();
    boolean expiring = freshness.ageMs() > bounds.maxConfirmationAgeMs() - LAST_RESORT_MS;
    return (rank < READERS && holders.isSelf()) || expiring || !freshness.isFresh();
  }

  private void query(String reader) {
    querying = true;
    nextQueryMs = clock.nowMs() + MIN_QUERY_INTERVAL_MS;
    TableFreshness.ReadStart sent = freshness.readStart();
    CatalogQuery.Builder query =
        CatalogQuery.newBuilder()
            .setVersion(version())
            .setListEpoch(listEpoch)
            .setListSequence(listSequence)
            .setWaitMs(WAIT_MS);
    encode(follower.evacuatedZones()).ifPresent(query::setEvacuatedZones);
    peers.queryCatalog(
        reader,
        query.build(),
        WAIT_MS + TIMEOUT_MS,
        reply -> {
          querying = false;
          onReply(reader, sent, reply);
        });
  }

  private long version() {
    return follower.table().map(RoutingTable::version).orElse(-1L);
  }

  private void onReply(String reader, TableFreshness.ReadStart sent, Optional<CatalogState> reply) {
    if (reply.isEmpty()) {
      passOver(reader, "no reply", RoleHolders.NO_REPLY_MS);
      return;
    }
    CatalogState state = reply.get();
    adoptEvacuations(state);
    long confirmedMs = sent.steadyMs() + state.getHeldMs() - state.getConfirmationAgeMs();
    boolean tooOld = clock.nowMs() - confirmedMs > maxAgeMs();
    if (!state.getConfirmed() || tooOld) {
      // What it knows may be outdated, and must not be the first that a new process adopts.
      passOver(
          reader,
          state.getConfirmed() ? "confirmation too old" : "not confirmed",
          RoleHolders.UNFIT_MS);
      return;
    }
    adopt(state);
    if (state.getListCurrent()) {
      follower.onPeerListCurrent(sent.steadyMs(), listRevision(state));
    }
    follower.onPeerConfirmed(
        state.getVersion(), new TableFreshness.ReadStart(confirmedMs, sent.driftMs()));
  }

  /**
   * Adopts evacuated zones of a later revision, also from a VM that cannot confirm its
   * configuration at the moment.
   */
  private void adoptEvacuations(CatalogState state) {
    follower.setEvacuationsShared(state.hasEvacuatedZones());
    if (state.hasEvacuatedZones()) {
      EvacuatedZonesState stated = state.getEvacuatedZones();
      follower
          .evacuatedZones()
          .adopt(Set.copyOf(stated.getZonesList()), revision(stated), "other VM");
    }
  }

  /** Returns the message that states evacuated zones; empty if they are not known. */
  static Optional<EvacuatedZonesState> encode(EvacuatedZones zones) {
    return zones.isKnown()
        ? Optional.of(
            EvacuatedZonesState.newBuilder()
                .setStoreEpoch(zones.revision().epoch())
                .setRevision(zones.revision().number())
                .addAllZones(zones.zones())
                .build())
        : Optional.empty();
  }

  /** Returns the revision at which the evacuated zones of a message are complete. */
  static StoreRevision revision(EvacuatedZonesState zones) {
    return new StoreRevision(zones.getStoreEpoch(), zones.getRevision());
  }

  private void adopt(CatalogState state) {
    if (state.getListIncluded()) {
      List<ListedEndpoint> list =
          state.getEndpointsList().stream()
              .map(CatalogSharing::decode)
              .filter(CatalogSharing::isValid)
              .toList();
      follower.onPeerList(list, listRevision(state));
    }
    listEpoch = state.getListEpoch();
    listSequence = state.getListSequence();
    if (!state.getTable().isEmpty()) {
      follower.onPeerTable(state.getTable().toByteArray());
    }
    if (state.getVersion() > version()) {
      follower.requestTableRead();
    }
  }

  private static StoreRevision listRevision(CatalogState state) {
    return new StoreRevision(state.getStoreEpoch(), state.getRevision());
  }

  /** Returns the largest age of a reader's confirmation: its interval, and a read that failed. */
  private long maxAgeMs() {
    return bounds.confirmIntervalMs() + PlatformBounds.PLATFORM_TIMEOUT_MS;
  }

  private void passOver(String reader, String reason, long forMs) {
    holders.suspect(reader, forMs);
    nextQueryMs = clock.nowMs();
    EventLog.event("platform-reader-passed-over")
        .with("reader", reader)
        .with("reason", reason)
        .with("confirmationAgeMs", freshness.ageMs())
        .info();
  }

  /** Returns whether an entry is valid; VMs of earlier releases pass on others too. */
  private static boolean isValid(ListedEndpoint entry) {
    Optional<String> violation = entry.findViolation();
    violation.ifPresent(
        reason ->
            EventLog.event("endpoint-entry-unreadable")
                .with("endpoint", entry.id())
                .with("error", reason)
                .info());
    return violation.isEmpty();
  }

  private static ListedEndpoint decode(CatalogEndpoint entry) {
    return new ListedEndpoint(
        entry.getId(),
        entry.getService(),
        entry.getAddress(),
        entry.getZone(),
        entry.getSoftwareVersion(),
        entry.getSlots(),
        entry.getDraining(),
        entry.getStartedAtMs(),
        entry.hasColdForMs() ? Optional.of(Math.max(0, entry.getColdForMs())) : Optional.empty());
  }
}
