package org.zinniaspan.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.EngineLoad;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;

/**
 * Gets the load reports of engines from the VMs that observe them.
 *
 * <p>One VM of each availability zone, the observer, represents its zone: it polls the engines of
 * its zone and asks the observers of the other zones for theirs; all other VMs of the zone ask it
 * for all. Not thread-safe.
 */
public final class EngineSharing implements Ticking {

  /** Time for which an observer may hold a query, in milliseconds. */
  private static final long WAIT_MS = 1_000;

  /** Time beyond the wait until a query has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 300;

  /**
   * Shortest time between two replies with load reports of one observer, in milliseconds. The
   * observer waits that long, so that it holds a query at any time and can tell of other
   * observations at once; for one of a release that does not, this VM waits.
   */
  private static final long MIN_INTERVAL_MS = 300;

  /**
   * Time that a query and its reply may take on the way, in milliseconds; if they take longer, the
   * ages of observations are inexact, and they are sent again.
   */
  private static final long MAX_TRANSIT_MS = 50;

  /** Shortest time between two reports of the same observations, in milliseconds. */
  private static final long REPORT_INTERVAL_MS = 300;

  /** Rank of a VM that is not an observer for the engines of other zones. */
  private static final int FAR_RANK = 3;

  /** What this VM has got from the observer of one zone. */
  private static final class Source {
    private long epoch;
    private long sequence;
    private long observationSequence;
    private boolean querying;
    private boolean reporting;
    private long nextQueryMs;
    private long nextReportMs;

    /** Observer that has this VM's own observations up to a sequence number. */
    private String reportedTo = "";

    private long reportedSequence;

    long reportedSequence(String observer) {
      return reportedTo.equals(observer) ? reportedSequence : 0;
    }
  }

  private final EndpointDirectory directory;
  private final EngineBoard board;
  private final FleetMembership members;
  private final RoleHolders holders;
  private final PeerClient peers;
  private final Clock clock;
  private final Map<String, Source> sourcesByZone = new HashMap<>();
  private boolean observing;

  /** Creates a sharing that has not found an observer yet. */
  public EngineSharing(
      EndpointDirectory directory,
      EngineBoard board,
      FleetMembership members,
      PeerClient peers,
      Clock clock) {
    this.directory = directory;
    this.board = board;
    this.members = members;
    this.holders = new RoleHolders(FleetMembership.REPRESENTATIVE_ROLE, members, clock);
    this.peers = peers;
    this.clock = clock;
  }

  /** Returns whether this VM polls the engines of its zone for the other VMs. */
  public boolean isObserver() {
    return holders.isSelf();
  }

  /**
   * Returns the rank of this VM among those that poll the engines of a zone: 0 for the observer, 1
   * and more for those that take its place one after the other. The engines of another zone are
   * polled first by the observer of this VM's zone, if their own observer's reports stay away.
   */
  public int observerRank(String zone) {
    if (zone.equals(members.zone())) {
      return isObserver() ? 0 : Math.max(1, holders.ownRank());
    }
    return isObserver() ? 1 : FAR_RANK;
  }

  @Override
  public void tick() {
    boolean observes = holders.isSelf();
    if (observing != observes) {
      observing = observes;
      EventLog.event("engine-observer")
          .with("observes", observes)
          .with("observer", holders.holder(members.zone()).orElse("none"))
          .info();
    }
    if (!observes) {
      query(members.zone(), "");
      return;
    }
    board.work().useFleetWork(board.work().fleetWork());
    board.pressure().useOwnSums();
    for (String zone : members.zones()) {
      if (!zone.equals(members.zone())) {
        query(zone, zone);
      }
    }
  }

  /** Asks the observer of a zone for the engines of a zone, or for all if that is empty. */
  private void query(String observerZone, String engineZone) {
    Source source = sourcesByZone.computeIfAbsent(observerZone, zone -> new Source());
    Optional<String> observer = holders.holder(observerZone);
    if (engineZone.isEmpty() && observer.isPresent()) {
      reportObservations(observer.get(), source);
    }
    if (source.querying || observer.isEmpty() || clock.nowMs() < source.nextQueryMs) {
      return;
    }
    source.querying = true;
    long sentMs = clock.nowMs();
    source.nextQueryMs = sentMs + MIN_INTERVAL_MS;
    EngineQuery.Builder query =
        newQuery(source).setWaitMs(WAIT_MS).setZone(engineZone).setMinWaitMs(MIN_INTERVAL_MS);
    if (engineZone.isEmpty()) {
      query.addAllWork(board.work().ownWork());
      board.speeds().report(query);
      board.pressure().report(query);
    }
    peers.queryEngines(
        observer.get(),
        query.build(),
        WAIT_MS + TIMEOUT_MS,
        reply -> {
          source.querying = false;
          if (reply.map(state -> isHeldAgain(sentMs, state)).orElse(false)) {
            source.nextQueryMs = clock.nowMs();
          }
          onReply(observer.get(), source, sentMs, reply);
          if (engineZone.isEmpty()) {
            reply.ifPresent(state -> board.work().useFleetWork(state.getFleetWorkList()));
            reply.ifPresent(board.pressure()::onFleet);
          } else {
            reply.ifPresent(state -> board.work().onZone(engineZone, state.getZoneWorkList()));
            reply.ifPresent(state -> board.pressure().onZone(engineZone, state));
          }
        });
  }

  private EngineQuery.Builder newQuery(Source source) {
    return EngineQuery.newBuilder()
        .setEpoch(source.epoch)
        .setSequence(source.sequence)
        .setObservationSequence(source.observationSequence)
        .setSender(members.self());
  }

  /**
   * Sends what this VM itself observed to the zone's observer at once, as endpoints crash or get
   * too many requests until all VMs know.
   */
  private void reportObservations(String observer, Source source) {
    long since = source.reportedSequence(observer);
    long sentMs = clock.nowMs();
    if (source.reporting
        || sentMs < source.nextReportMs
        || !board.observations().hasReportSince(since)) {
      return;
    }
    source.reporting = true;
    long sequence = board.observations().sequence();
    long epoch = source.epoch;
    EngineQuery query =
        newQuery(source).setObservations(board.observations().encodeReport(since)).build();
    peers.queryEngines(
        observer,
        query,
        TIMEOUT_MS,
        reply -> {
          source.reporting = false;
          // A new process of the observer has none of what was reported to the one before it.
          boolean known = reply.map(r -> since == 0 || r.getEpoch() == epoch).orElse(false);
          boolean exact = known && isExact(sentMs, reply.get());
          onReply(observer, source, sentMs, reply);
          source.reportedTo = observer;
          source.reportedSequence = exact ? sequence : known ? since : 0;
          source.nextReportMs = exact ? 0 : clock.nowMs() + REPORT_INTERVAL_MS;
        });
  }

  /** Returns whether the sender of a reply holds the next query, so that it may be sent at once. */
  private boolean isHeldAgain(long sentMs, EngineState reply) {
    return reply.getHeedsMinWait() && !reply.getStopping() && isExact(sentMs, reply);
  }

  /** Returns whether a query and its reply were under way so shortly that ages hold. */
  private boolean isExact(long sentMs, EngineState reply) {
    return clock.nowMs() - sentMs - reply.getHeldMs() <= MAX_TRANSIT_MS;
  }

  private void onReply(String observer, Source source, long sentMs, Optional<EngineState> reply) {
    if (reply.isEmpty()) {
      holders.suspect(observer, RoleHolders.NO_REPLY_MS);
      EventLog.event("engine-observer-passed-over").with("observer", observer).info();
      return;
    }
    if (reply.get().getStopping()) {
      holders.suspect(observer, RoleHolders.NO_REPLY_MS);
    }
    if (reply.get().getEpoch() != source.epoch) {
      source.reportedSequence = 0;
      source.observationSequence = 0;
    }
    source.epoch = reply.get().getEpoch();
    source.sequence = reply.get().getSequence();
    if (isExact(sentMs, reply.get())) {
      source.observationSequence = reply.get().getObservationSequence();
    }
    board.observations().merge(reply.get().getObservations());
    reply.get().getLoadsList().forEach(this::adopt);
  }

  private void adopt(EngineLoad load) {
    Optional<TrackedEndpoint> engine =
        directory
            .endpoint(load.getEndpoint())
            .filter(e -> e.listed().startedAtMs() == load.getStartedAtMs());
    if (engine.isEmpty()) {
      return;
    }
    long requestedMs = clock.nowMs() - load.getAgeMs();
    EngineReport report =
        new EngineReport(load.getQueued(), load.getActive(), load.getStartedAtMs());
    if (board.record(engine.get().listed(), report, requestedMs)) {
      engine.get().onReport(report, requestedMs);
    }
    board.speeds().onTold(engine.get(), load);
  }
}
