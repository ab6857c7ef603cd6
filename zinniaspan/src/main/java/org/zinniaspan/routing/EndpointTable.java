package org.zinniaspan.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.SlotAsk;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;

/**
 * The endpoints of one availability zone with what this process knows of each.
 *
 * <p>Each endpoint's record has its own lock.
 */
public final class EndpointTable {

  /** Time for which an endpoint that said it leaves gets no work, in milliseconds. */
  public static final long LEAVING_MS = 60_000;

  private final String zone;
  private final Supplier<Configuration> configuration;
  private final Clock clock;
  private final Map<String, Row> rows = new ConcurrentHashMap<>();

  /** Creates an empty table for an availability zone. */
  public EndpointTable(String zone, Supplier<Configuration> configuration, Clock clock) {
    this.zone = zone;
    this.configuration = configuration;
    this.clock = clock;
  }

  /** Returns the endpoints of the pool in this availability zone. */
  public List<Endpoint> endpointsOf(Pool pool) {
    return configuration.get().inventory().endpoints().stream()
        .filter(endpoint -> endpoint.zone().equals(zone) && endpoint.serves(pool))
        .toList();
  }

  /** Returns the endpoints of this availability zone. */
  public List<Endpoint> endpoints() {
    return configuration.get().inventory().endpoints().stream()
        .filter(endpoint -> endpoint.zone().equals(zone))
        .toList();
  }

  /** Returns the endpoints of a pool that may get new work and have a free slot. */
  public List<EndpointState> candidates(Pool pool, Collection<String> excluded) {
    return endpointsOf(pool).stream()
        .filter(endpoint -> !excluded.contains(endpoint.name()))
        .filter(endpoint -> !isLeaving(endpoint.name()))
        .map(this::state)
        .filter(state -> state.free() > 0)
        .toList();
  }

  /** Returns what is known of an endpoint. */
  public EndpointState state(Endpoint endpoint) {
    return row(endpoint.name()).state(endpoint);
  }

  /** Records a load report. */
  public void report(String endpoint, LoadReport report) {
    row(endpoint).report(report);
  }

  /** Records that a slot of the endpoint is held for an ask. */
  public void hold(String endpoint, SlotAsk ask) {
    row(endpoint).hold(ask.attemptId(), clock.nowMs());
  }

  /** Learns from a use of the endpoint that ended. */
  public void observe(String endpoint, SlotUse use) {
    if (use.result() == SlotResult.LEAVING) {
      markLeaving(endpoint);
    }
  }

  /** Records that an attempt no longer holds a slot of the endpoint. */
  public void free(String endpoint, String attemptId) {
    row(endpoint).free(attemptId);
  }

  /** Records that the endpoint itself says that it leaves. */
  public void markLeaving(String endpoint) {
    row(endpoint).markLeaving(clock.nowMs() + LEAVING_MS);
  }

  /** Returns whether the endpoint gets no new work because it leaves. */
  public boolean isLeaving(String endpoint) {
    return row(endpoint).isLeaving(clock.nowMs()) || configuration.get().vms().isLeaving(endpoint);
  }

  private Row row(String endpoint) {
    return rows.computeIfAbsent(endpoint, name -> new Row());
  }

  private static final class Row {

    private final Map<String, Long> heldSinceMs = new HashMap<>();
    private Optional<LoadReport> report = Optional.empty();
    private long leavingUntilMs = Long.MIN_VALUE;

    synchronized EndpointState state(Endpoint endpoint) {
      long reportedMs = report.map(LoadReport::asOfMs).orElse(Long.MIN_VALUE);
      long since = heldSinceMs.values().stream().filter(ms -> ms > reportedMs).count();
      return new EndpointState(endpoint, report, heldSinceMs.size(), (int) since);
    }

    synchronized void report(LoadReport newer) {
      report = Optional.of(newer);
    }

    synchronized void hold(String attemptId, long nowMs) {
      heldSinceMs.put(attemptId, nowMs);
    }

    synchronized void free(String attemptId) {
      heldSinceMs.remove(attemptId);
    }

    synchronized void markLeaving(long untilMs) {
      leavingUntilMs = untilMs;
    }

    synchronized boolean isLeaving(long nowMs) {
      return leavingUntilMs > nowMs || report.map(LoadReport::leaving).orElse(false);
    }
  }

  /** Returns the names of endpoints about which something is known. */
  public Set<String> known() {
    return Set.copyOf(rows.keySet());
  }
}
