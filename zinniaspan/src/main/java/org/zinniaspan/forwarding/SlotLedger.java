package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which VM holds how many slots of the endpoints of a service.
 *
 * <p>VMs state all that they hold, so that a new ledger is complete as soon as all of them have
 * done so. A slot that was assigned counts until its VM has stated that it knows of it: from then
 * on it is part of what the VM states, or was given back. Not thread-safe.
 */
public final class SlotLedger {

  private static final class Holder {
    private long epoch;
    private long number;
    private long heardMs;
    private Map<String, Integer> held = Map.of();

    /** Endpoints whose slots were assigned, by the number of the query. */
    private final TreeMap<Long, List<String>> assigned = new TreeMap<>();
  }

  private final Map<String, Holder> holders = new HashMap<>();
  private final Map<String, Integer> taken = new HashMap<>();

  /**
   * What a VM states.
   *
   * @param vm address of the VM
   * @param epoch number of its process
   * @param number number of the statement, which grows within an epoch
   * @param unanswered numbers of the earlier queries whose answers the VM does not know
   * @param held number of the slots that the VM holds, by the endpoint's id
   */
  public record Statement(
      String vm, long epoch, long number, Set<Long> unanswered, Map<String, Integer> held) {}

  /** Adds what a VM states, unless it has stated something newer. */
  public void register(Statement statement, long nowMs) {
    Holder holder = holders.computeIfAbsent(statement.vm(), vm -> new Holder());
    if (holder.epoch != statement.epoch()) {
      holder.assigned.values().forEach(endpoints -> add(endpoints, -1));
      holder.assigned.clear();
      holder.epoch = statement.epoch();
      holder.number = Long.MIN_VALUE;
    }
    holder.heardMs = nowMs;
    if (statement.number() <= holder.number) {
      return;
    }
    holder.number = statement.number();
    holder.held.forEach((endpoint, count) -> add(endpoint, -count));
    holder.held = Map.copyOf(statement.held());
    holder.held.forEach(this::add);
    Set<Long> known = new HashSet<>(holder.assigned.headMap(statement.number()).keySet());
    known.removeAll(statement.unanswered());
    known.forEach(number -> add(holder.assigned.remove(number), -1));
  }

  /** Assigns slots in reply to a query of a VM, one for each endpoint in the list. */
  public void assign(String vm, long number, List<String> endpoints) {
    holders.get(vm).assigned.put(number, List.copyOf(endpoints));
    add(endpoints, 1);
  }

  private void add(List<String> endpoints, int count) {
    endpoints.forEach(endpoint -> add(endpoint, count));
  }

  private void add(String endpoint, int count) {
    taken.merge(endpoint, count, (known, more) -> known + more == 0 ? null : known + more);
  }

  /** Returns the number of slots of an endpoint that are taken. */
  public int taken(String endpointId) {
    return taken.getOrDefault(endpointId, 0);
  }

  /** Frees the slots of VMs that have stated nothing since a time, in milliseconds. */
  public void removeSilentSince(long sinceMs) {
    holders
        .values()
        .removeIf(
            holder -> {
              boolean silent = holder.heardMs < sinceMs;
              if (silent) {
                holder.held.forEach((endpoint, count) -> add(endpoint, -count));
                holder.assigned.values().forEach(endpoints -> add(endpoints, -1));
              }
              return silent;
            });
  }

  /** Forgets all that VMs have stated. */
  public void clear() {
    holders.clear();
    taken.clear();
  }
}
