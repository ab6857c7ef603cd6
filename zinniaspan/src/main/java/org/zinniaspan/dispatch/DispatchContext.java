package org.zinniaspan.dispatch;

import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointTable;

/**
 * Dependencies and settings that dispatchers and gateways share in one process.
 *
 * @param membership live VMs of the availability zone
 * @param table endpoints of the availability zone
 * @param chooser chooses among endpoints with a free slot
 * @param configuration supplies the configuration in force
 * @param clock source of time
 * @param limits limits of each pool's queue
 * @param listener receives each decision
 * @param poolGroups groups of pools that share endpoints
 */
public record DispatchContext(
    Membership membership,
    EndpointTable table,
    EndpointChooser chooser,
    Supplier<Configuration> configuration,
    Clock clock,
    QueueLimits limits,
    SlotDecisionListener listener,
    PoolGroups poolGroups) {

  /** Creates a context that derives the pool groups from the inventory. */
  public DispatchContext(
      Membership membership,
      EndpointTable table,
      EndpointChooser chooser,
      Supplier<Configuration> configuration,
      Clock clock,
      QueueLimits limits,
      SlotDecisionListener listener) {
    this(membership, table, chooser, configuration, clock, limits, listener, new PoolGroups());
  }

  /**
   * Longest gap between two ticks, in milliseconds, that does not count as a pause of the process.
   */
  static final long MAX_TICK_GAP_MS = 1_000;

  /** Returns the VM that owns the slots of a pool, according to this process's membership view. */
  public String ownerOf(Pool pool) {
    String group = poolGroups.groupOf(pool, configuration.get(), table.endpoints());
    return membership.ownerOf("dispatch/" + group).vm();
  }

  /**
   * Returns whether this process owns the slots of a pool, according to its own membership view.
   */
  public boolean isOwner(Pool pool) {
    return ownerOf(pool).equals(membership.self().vm());
  }

  /** Returns the pools that have endpoints in this availability zone. */
  Set<Pool> pools() {
    return poolGroups.pools(configuration.get(), table.endpoints());
  }

  /**
   * Returns the pools that the inventory lists for an endpoint: one per model of an engine, or that
   * of a service.
   */
  public static Stream<Pool> pools(Endpoint endpoint) {
    return switch (endpoint.kind()) {
      case ENGINE -> endpoint.models().stream().map(Pool::model);
      case SERVICE -> Stream.of(Pool.service(endpoint.service()));
    };
  }

  int weight(String organisation) {
    return configuration.get().organisation(organisation).map(Organisation::weight).orElse(1);
  }
}
