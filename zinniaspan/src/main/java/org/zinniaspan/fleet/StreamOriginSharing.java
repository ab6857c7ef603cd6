package org.zinniaspan.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.peer.proto.StreamOriginReceipt;
import org.zinniaspan.peer.proto.StreamOriginUpdate;

/**
 * Records which software version began each stream of this VM, and copies that to other VMs, so
 * that a stream can be resumed at its version when this VM has failed.
 *
 * <p>Origins are copied only while several versions of a service are listed, or were until a short
 * time ago, or may be, as nothing confirms the list; with a single version there is nothing to tell
 * apart. A new process that has streams finds out, from other VMs first, whether a service had
 * other versions before. Not thread-safe.
 */
public final class StreamOriginSharing implements Ticking {

  /** Time after which an update has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 300;

  /** Time for which an origin is kept beyond the client's deadline, in milliseconds. */
  private static final long EXPIRY_SLACK_MS = 1_000;

  /** Interval at which expired origins are removed, in milliseconds. */
  private static final long EXPIRY_INTERVAL_MS = 500;

  /** Interval between two checks of whether a service has one version, in milliseconds. */
  private static final long VERSIONS_CHECK_INTERVAL_MS = 5_000;

  /**
   * Delay of the first check at VMs that others don't query, in milliseconds, so that they hear of
   * the result of those that are queried; a part that differs between VMs is added.
   */
  private static final long VERSIONS_CHECK_DELAY_MS = 200;

  private static final int MAX_ADDED_DELAY_MS = 150;

  private final StreamOrigins origins;
  private final StreamOriginHolders holders;
  private final EndpointDirectory directory;
  private final StreamOriginLookup lookup;
  private final PeerClient peers;
  private final Clock clock;
  private final long checkDelayMs;
  private final Deque<StreamOrigin> own = new ArrayDeque<>();
  private final List<StreamOrigin> unsent = new ArrayList<>();
  private final Set<String> mixedServices = new HashSet<>();
  private final Set<String> uncertainServices = new HashSet<>();
  private long nextExpiryMs;
  private Optional<Long> nextVersionsCheckMs = Optional.empty();

  /**
   * Creates a sharing that knows no stream.
   *
   * @param self peer address of this VM
   */
  StreamOriginSharing(
      String self,
      StreamOrigins origins,
      StreamOriginHolders holders,
      EndpointDirectory directory,
      StreamOriginLookup lookup,
      PeerClient peers,
      Clock clock) {
    this.origins = origins;
    this.holders = holders;
    this.directory = directory;
    this.lookup = lookup;
    this.peers = peers;
    this.clock = clock;
    this.checkDelayMs =
        VERSIONS_CHECK_DELAY_MS + Math.floorMod(self.hashCode(), MAX_ADDED_DELAY_MS);
  }

  /**
   * Records the version that delivered the first event of a stream.
   *
   * @param attemptId id of the client attempt
   * @param remainingMs time until the client's deadline, in milliseconds
   */
  public void record(String attemptId, String service, String softwareVersion, long remainingMs) {
    StreamOrigin origin =
        new StreamOrigin(
            attemptId, service, softwareVersion, clock.nowMs() + remainingMs + EXPIRY_SLACK_MS);
    origins.add(origin);
    own.addLast(origin);
    if (own.size() > StreamOrigins.MAX_ENTRIES) {
      own.removeFirst();
    }
    if (mixedServices.contains(service)) {
      unsent.add(origin);
    }
  }

  /** Handles an update of another VM. */
  public StreamOriginReceipt onUpdate(StreamOriginUpdate update) {
    long now = clock.nowMs();
    update.getOriginsList().forEach(entry -> origins.add(StreamOrigin.decode(entry, now)));
    return StreamOriginReceipt.getDefaultInstance();
  }

  /** Returns the number of streams whose origin is known. */
  public int size() {
    return origins.size();
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    if (now >= nextExpiryMs) {
      nextExpiryMs = now + EXPIRY_INTERVAL_MS;
      origins.removeExpired();
      own.removeIf(origin -> origin.expiresMs() <= now);
      unsent.removeIf(origin -> origin.expiresMs() <= now);
    }
    if (!own.isEmpty()) {
      checkVersions(now);
    }
    updateMixedServices();
    send();
  }

  /**
   * Checks which services that seem to have one version may have had others before this process
   * observed the list.
   */
  private void checkVersions(long now) {
    if (directory.observedMs() >= EndpointDirectory.VERSION_HISTORY_MS) {
      uncertainServices.clear();
      nextVersionsCheckMs = Optional.empty();
      return;
    }
    if (nextVersionsCheckMs.isEmpty()) {
      nextVersionsCheckMs = Optional.of(now + (holders.isQueried("") ? 0 : checkDelayMs));
    }
    if (now < nextVersionsCheckMs.get()) {
      return;
    }
    nextVersionsCheckMs = Optional.of(now + VERSIONS_CHECK_INTERVAL_MS);
    Set<String> services = servicesOfOwnStreams();
    services.removeIf(service -> directory.recentVersions(service).size() > 1);
    for (String service : services) {
      lookup.findOnlyVersion(
          service,
          result -> {
            if (result instanceof StreamOriginResult.Known) {
              uncertainServices.remove(service);
              nextVersionsCheckMs =
                  Optional.of(clock.nowMs() + EndpointDirectory.VERSION_HISTORY_MS);
            } else {
              uncertainServices.add(service);
            }
          });
    }
  }

  private Set<String> servicesOfOwnStreams() {
    Set<String> services = new HashSet<>();
    own.forEach(origin -> services.add(origin.service()));
    return services;
  }

  private boolean hasOneVersion(String service) {
    return directory.isListConfirmed()
        && directory.recentVersions(service).size() < 2
        && !uncertainServices.contains(service);
  }

  /** Queues the origins of the streams of a service once it may have several versions. */
  private void updateMixedServices() {
    Set<String> services = servicesOfOwnStreams();
    services.addAll(mixedServices);
    for (String service : services) {
      if (hasOneVersion(service)) {
        mixedServices.remove(service);
      } else if (mixedServices.add(service)) {
        own.stream().filter(o -> o.service().equals(service)).forEach(unsent::add);
      }
    }
  }

  private void send() {
    Map<String, List<StreamOrigin>> byTarget = new HashMap<>();
    for (StreamOrigin origin : unsent) {
      for (String target : holders.copyTargets(origin.attemptId())) {
        byTarget.computeIfAbsent(target, address -> new ArrayList<>()).add(origin);
      }
    }
    unsent.clear();
    byTarget.forEach(this::send);
  }

  private void send(String target, List<StreamOrigin> batch) {
    long now = clock.nowMs();
    StreamOriginUpdate.Builder update = StreamOriginUpdate.newBuilder();
    batch.forEach(origin -> update.addOrigins(origin.encode(now)));
    peers.updateOrigins(
        target,
        update.build(),
        TIMEOUT_MS,
        receipt -> {
          if (receipt.isEmpty()) {
            holders.suspect(target);
            unsent.addAll(batch);
          }
        });
  }
}
