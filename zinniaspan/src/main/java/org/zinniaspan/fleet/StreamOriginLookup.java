package org.zinniaspan.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.peer.proto.StreamOriginQuery;
import org.zinniaspan.peer.proto.StreamOriginReply;

/**
 * Finds the software version that began a stream, at this VM or at others, and answers the queries
 * of other VMs.
 *
 * <p>If no VM knows the origin, the version is still certain as long as the service has had only
 * one. That takes a list of endpoints that is as new as the search, since another VM may have begun
 * the stream at an endpoint that joined a moment ago, and a list that was observed for as long as a
 * stream can be resumed. Not thread-safe.
 */
public final class StreamOriginLookup {

  /** Timeout of a query to a VM of the own zone, in milliseconds. */
  private static final long TIMEOUT_MS = 150;

  /** Timeout of a query to another zone, whose receiver queries its zone, in milliseconds. */
  private static final long ZONE_TIMEOUT_MS = 250;

  private final StreamOrigins origins;
  private final StreamOriginHolders holders;
  private final EndpointDirectory directory;
  private final CatalogFollower follower;
  private final PeerClient peers;
  private final Clock clock;

  /** Creates a lookup. */
  StreamOriginLookup(
      StreamOrigins origins,
      StreamOriginHolders holders,
      EndpointDirectory directory,
      CatalogFollower follower,
      PeerClient peers,
      Clock clock) {
    this.origins = origins;
    this.holders = holders;
    this.directory = directory;
    this.follower = follower;
    this.peers = peers;
    this.clock = clock;
  }

  /**
   * Finds the version that began a stream.
   *
   * @param attemptId id of the client attempt that delivered the first event, if it is known
   * @param callback receives the result, exactly once
   */
  public void find(
      Optional<String> attemptId, String service, Consumer<StreamOriginResult> callback) {
    Optional<StreamOrigin> known = attemptId.flatMap(origins::find);
    if (known.isPresent()) {
      callback.accept(new StreamOriginResult.Known(known.get().softwareVersion(), "own"));
      return;
    }
    Search search = new Search(service, callback);
    String id = attemptId.orElse("");
    search.query(holders.queried(id), query(id, service, false), TIMEOUT_MS);
    search.query(holders.representatives(), query(id, service, true), ZONE_TIMEOUT_MS);
    search.confirmList();
    search.start();
  }

  /**
   * Finds out whether a service has had only one version for as long as a stream can be resumed.
   *
   * @param callback receives the result, exactly once
   */
  void findOnlyVersion(String service, Consumer<StreamOriginResult> callback) {
    find(Optional.empty(), service, callback);
  }

  /** Answers a query of another VM; the responder is called once. */
  public void onQuery(StreamOriginQuery query, Consumer<StreamOriginReply> responder) {
    Optional<StreamOrigin> known = origins.find(query.getAttemptId());
    if (known.isPresent() || !query.getZoneWide()) {
      responder.accept(reply(query.getService(), known));
      return;
    }
    Search search =
        new Search(
            query.getService(),
            result ->
                responder.accept(reply(query.getService(), origins.find(query.getAttemptId()))));
    search.query(
        holders.queried(query.getAttemptId()),
        query(query.getAttemptId(), query.getService(), false),
        TIMEOUT_MS);
    search.start();
  }

  private static StreamOriginQuery query(String attemptId, String service, boolean zoneWide) {
    return StreamOriginQuery.newBuilder()
        .setAttemptId(attemptId)
        .setService(service)
        .setZoneWide(zoneWide)
        .build();
  }

  private StreamOriginReply reply(String service, Optional<StreamOrigin> known) {
    StreamOriginReply.Builder reply =
        StreamOriginReply.newBuilder()
            .addAllRecentVersions(directory.recentVersions(service))
            .setObservedMs(directory.observedMs());
    known.ifPresent(origin -> reply.setOrigin(origin.encode(clock.nowMs())));
    return reply.build();
  }

  /** One search, which ends with the first VM that knows the origin, or when all have replied. */
  private final class Search {

    private final String service;
    private final Consumer<StreamOriginResult> callback;
    private final Set<String> versions;
    private long observedMs = directory.observedMs();
    private int pending;
    private boolean listConfirmed;
    private boolean earlierChangesRead;
    private boolean started;
    private boolean done;

    Search(String service, Consumer<StreamOriginResult> callback) {
      this.service = service;
      this.callback = callback;
      this.versions = new HashSet<>(directory.recentVersions(service));
    }

    void query(List<String> addresses, StreamOriginQuery query, long timeoutMs) {
      pending += addresses.size();
      for (String address : addresses) {
        peers.queryOrigin(address, query, timeoutMs, reply -> onReply(address, reply));
      }
    }

    /** Brings the list up to date, unless several versions are known already. */
    void confirmList() {
      if (versions.size() > 1) {
        return;
      }
      pending++;
      follower.confirmList(
          confirmed -> {
            listConfirmed = confirmed;
            onDirectoryUpdated();
          });
    }

    /** Finds out what was listed before, if no VM has observed the list for long. */
    private void readEarlierChanges() {
      earlierChangesRead = true;
      pending++;
      follower.readEarlierChanges(known -> onDirectoryUpdated());
    }

    private void onDirectoryUpdated() {
      pending--;
      versions.addAll(directory.recentVersions(service));
      observedMs = Math.max(observedMs, directory.observedMs());
      concludeIfComplete();
    }

    /** Ends the search if no query is pending; called once all queries were sent. */
    void start() {
      started = true;
      concludeIfComplete();
    }

    private void onReply(String address, Optional<StreamOriginReply> reply) {
      pending--;
      if (done) {
        return;
      }
      if (reply.isPresent() && reply.get().hasOrigin()) {
        StreamOrigin origin = StreamOrigin.decode(reply.get().getOrigin(), clock.nowMs());
        origins.add(origin);
        conclude(new StreamOriginResult.Known(origin.softwareVersion(), address));
        return;
      }
      reply.ifPresent(
          state -> {
            versions.addAll(state.getRecentVersionsList());
            observedMs = Math.max(observedMs, state.getObservedMs());
          });
      concludeIfComplete();
    }

    private void concludeIfComplete() {
      if (!started || pending > 0 || done) {
        return;
      }
      if (versions.size() != 1) {
        conclude(new StreamOriginResult.Unknown("versions " + versions));
      } else if (!listConfirmed) {
        conclude(new StreamOriginResult.Unknown("list not confirmed"));
      } else if (observedMs < EndpointDirectory.VERSION_HISTORY_MS && !earlierChangesRead) {
        readEarlierChanges();
      } else if (observedMs < EndpointDirectory.VERSION_HISTORY_MS) {
        conclude(new StreamOriginResult.Unknown("observed for " + observedMs + " ms"));
      } else {
        conclude(new StreamOriginResult.Known(versions.iterator().next(), "only version"));
      }
    }

    private void conclude(StreamOriginResult result) {
      done = true;
      callback.accept(result);
    }
  }
}
