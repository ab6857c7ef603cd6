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
 * The endpoints of one availability zone with what this process knows of each.
 *
 * <p>Each endpoint's record has its own lock.
 */
public final class EndpointTable {

  /** Time for which a word of leaving holds if nothing newer is heard, in milliseconds. */
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
   * <p>An engine serves the models that its last report lists, or those of the inventory while
   * there is no report, or one without models.
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

  /** Returns the endpoints of a pool that may get new work and have a free slot. */
  public List<EndpointSnapshot> candidates(Pool pool, Collection<String> excluded) {
    List<OutlierEjection.ScoredEndpoint> scored =
        endpointsOf(pool).stream()
            .filter(endpoint -> !isLeaving(endpoint.name()))
            .map(this::score)
            .toList();
    return OutlierEjection.retain(scored).stream()
        .filter(state -> !excluded.contains(state.endpoint().name()))
        .filter(state -> state.freeSlots() > 0)
        .toList();
  }

  private OutlierEjection.ScoredEndpoint score(Endpoint endpoint) {
    EndpointTracker tracker = tracker(endpoint.name());
    boolean out = ejectionEnabled && tracker.isBlocked(clock.nowMs());
    return new OutlierEjection.ScoredEndpoint(
        snapshot(endpoint), out ? 1 + tracker.ejections() : 0);
  }

  /** Turns the ejection of failing endpoints on, as at the start, or off. */
  public void setEjectionEnabled(boolean value) {
    ejectionEnabled = value;
  }

  /** Returns what is known of an endpoint. */
  public EndpointSnapshot snapshot(Endpoint endpoint) {
    return tracker(endpoint.name()).snapshot(endpoint, clock.nowMs());
  }

  /** Records a load report. */
  public void recordReport(String endpoint, LoadReport report) {
    if (tracker(endpoint).report(report, clock.nowMs())) {
      logLeaving(endpoint, report.leaving(), "report");
    }
  }

  /** Records that a slot of the endpoint is held for an ask. */
  public void recordSlotHeld(String endpoint, LeaseRequest ask) {
    tracker(endpoint).recordSlotHeld(ask, clock.nowMs());
  }

  /** Learns from a use of the endpoint that ended. */
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

  /** Records that an attempt no longer holds a slot of the endpoint. */
  public void recordSlotFreed(String endpoint, String attemptId) {
    tracker(endpoint).recordSlotFreed(attemptId, clock.nowMs());
  }

  /** Records that the endpoint itself says that it leaves. */
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

  /** Returns whether the endpoint gets no new work because it leaves. */
  public boolean isLeaving(String endpoint) {
    return tracker(endpoint).isLeaving(clock.nowMs()) || configuration.get().isLeaving(endpoint);
  }

  private EndpointTracker tracker(String endpoint) {
    return trackers.computeIfAbsent(endpoint, name -> new EndpointTracker());
  }

  /** Returns the names of endpoints about which something is known. */
  public Set<String> trackedEndpoints() {
    return Set.copyOf(trackers.keySet());
  }
}
