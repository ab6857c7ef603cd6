package org.zinniaspan.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.log.EventLog;

/**
 * Tracks the state of the endpoints of one availability zone and selects routing candidates.
 *
 * <p>Thread-safe; each endpoint's tracker has its own lock.
 */
public final class EndpointTable {

  /** Time after which a leaving status expires unless it is renewed, in milliseconds. */
  public static final long LEAVING_TIMEOUT_MS = LeavingStatus.EXPIRY_MS;

  private final ZoneEndpoints endpoints;
  private final Supplier<Configuration> configuration;
  private final Clock clock;
  private final Map<String, EndpointTracker> trackers = new ConcurrentHashMap<>();
  private volatile boolean ejectionEnabled = true;

  /** Creates an empty table for an availability zone. */
  public EndpointTable(String zone, Supplier<Configuration> configuration, Clock clock) {
    this.endpoints = new ZoneEndpoints(zone, configuration);
    this.configuration = configuration;
    this.clock = clock;
  }

  /**
   * Returns the endpoints of the pool in this availability zone.
   *
   * <p>An engine serves the models that its last load report lists. Without a report, or with one
   * that lists no models, it serves those of the inventory.
   */
  public List<Endpoint> endpointsOf(Pool pool) {
    return endpoints().stream().filter(endpoint -> serves(endpoint, pool)).toList();
  }

  private boolean serves(Endpoint endpoint, Pool pool) {
    Set<String> loaded = tracker(endpoint.name()).loadedModels();
    if (pool.kind() == EndpointKind.SERVICE || loaded.isEmpty()) {
      return endpoint.serves(pool);
    }
    return endpoint.kind() == EndpointKind.ENGINE && loaded.contains(pool.name());
  }

  /** Returns the endpoints of this availability zone. */
  public List<Endpoint> endpoints() {
    return endpoints.list();
  }

  /** Returns the endpoints of a pool that may get new requests and have a free slot. */
  public List<EndpointSnapshot> candidates(Pool pool, Collection<String> excluded) {
    List<OutlierEjection.ScoredEndpoint> scored =
        endpointsOf(pool).stream()
            .filter(endpoint -> !isLeaving(endpoint.name()))
            .map(this::score)
            .toList();
    return OutlierEjection.retain(scored).stream()
        .filter(snapshot -> !excluded.contains(snapshot.endpoint().name()))
        .filter(snapshot -> snapshot.freeSlots() > 0)
        .toList();
  }

  private OutlierEjection.ScoredEndpoint score(Endpoint endpoint) {
    EndpointTracker tracker = tracker(endpoint.name());
    boolean blocked = ejectionEnabled && tracker.isBlocked(clock.nowMs());
    return new OutlierEjection.ScoredEndpoint(
        snapshot(endpoint), blocked ? 1 + tracker.ejections() : 0);
  }

  /** Turns the ejection of failing endpoints on or off; on by default. */
  public void setEjectionEnabled(boolean value) {
    ejectionEnabled = value;
  }

  /** Returns a snapshot of an endpoint's state. */
  public EndpointSnapshot snapshot(Endpoint endpoint) {
    return tracker(endpoint.name()).snapshot(endpoint, clock.nowMs());
  }

  /** Records a load report. */
  public void recordReport(String endpoint, LoadReport report) {
    if (tracker(endpoint).report(report, clock.nowMs())) {
      logLeaving(endpoint, report.leaving(), "report");
    }
  }

  /** Records that a slot of the endpoint is held for a lease request. */
  public void recordSlotHeld(String endpoint, LeaseRequest request) {
    tracker(endpoint).recordSlotHeld(request, clock.nowMs());
  }

  /** Records the result of an attempt at the endpoint, which may eject it. */
  public void recordUse(String endpoint, SlotUse use) {
    if (use.result() == SlotResult.LEAVING) {
      markLeaving(endpoint);
    }
    EndpointTracker tracker = tracker(endpoint);
    if (tracker.recordUse(use, clock.nowMs())) {
      EventLog.event("ejected")
          .with("endpoint", endpoint)
          .with("result", use.result())
          .with("ejections", tracker.ejections())
          .warn();
    }
  }

  /** Records that an attempt has released its slot of the endpoint. */
  public void recordSlotFreed(String endpoint, String attemptId) {
    tracker(endpoint).recordSlotFreed(attemptId, clock.nowMs());
  }

  /** Records that the endpoint refused a request because it is leaving. */
  public void markLeaving(String endpoint) {
    if (tracker(endpoint).markLeaving(clock.nowMs())) {
      logLeaving(endpoint, true, "refusal");
    }
  }

  private static void logLeaving(String endpoint, boolean leaving, String source) {
    EventLog.event(leaving ? "leaving" : "stays")
        .with("endpoint", endpoint)
        .with("source", source)
        .info();
  }

  /** Returns whether the endpoint or the list of VMs says that it is leaving. */
  public boolean isLeaving(String endpoint) {
    return tracker(endpoint).isLeaving(clock.nowMs()) || configuration.get().isLeaving(endpoint);
  }

  private EndpointTracker tracker(String endpoint) {
    return trackers.computeIfAbsent(endpoint, name -> new EndpointTracker());
  }

  /** Returns the names of the endpoints that have a tracker. */
  public Set<String> trackedEndpoints() {
    return Set.copyOf(trackers.keySet());
  }
}
