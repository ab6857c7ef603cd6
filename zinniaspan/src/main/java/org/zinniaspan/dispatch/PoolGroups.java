package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;

/**
 * Groups the pools of an availability zone that share endpoints, directly or through other pools.
 *
 * <p>All pools of a group have the same dispatcher, since separate ones would grant the slots of a
 * shared endpoint twice. Recomputed for each inventory revision, under this object's lock.
 */
final class PoolGroups {

  private final Map<Pool, Pool> parents = new HashMap<>();
  private Set<Pool> pools = Set.of();
  private long revision = -1;

  /**
   * Returns the name of the group to which a pool belongs: the first pool id in it by string order.
   */
  synchronized String groupOf(Pool pool, Configuration configuration, List<Endpoint> endpoints) {
    refresh(configuration, endpoints);
    return root(pool).id();
  }

  /** Returns all pools that the endpoints may serve. */
  synchronized Set<Pool> pools(Configuration configuration, List<Endpoint> endpoints) {
    refresh(configuration, endpoints);
    return pools;
  }

  private void refresh(Configuration configuration, List<Endpoint> endpoints) {
    long current = configuration.revision(DocumentName.INVENTORY);
    if (current == revision) {
      return;
    }
    parents.clear();
    endpoints.forEach(this::mergePools);
    pools =
        endpoints.stream().flatMap(DispatchContext::pools).collect(Collectors.toUnmodifiableSet());
    revision = current;
  }

  private void mergePools(Endpoint endpoint) {
    List<Pool> pools = DispatchContext.pools(endpoint).toList();
    for (Pool pool : pools) {
      union(pools.get(0), pool);
    }
  }

  private void union(Pool a, Pool b) {
    Pool rootA = root(a);
    Pool rootB = root(b);
    if (rootA.id().compareTo(rootB.id()) < 0) {
      parents.put(rootB, rootA);
    } else if (!rootA.equals(rootB)) {
      parents.put(rootA, rootB);
    }
  }

  private Pool root(Pool pool) {
    Pool at = pool;
    while (parents.containsKey(at)) {
      at = parents.get(at);
    }
    return at;
  }
}
