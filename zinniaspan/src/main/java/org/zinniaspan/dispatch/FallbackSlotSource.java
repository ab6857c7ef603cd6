package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.EndpointTable;

/**
 * Slot source of a gateway's own share of a pool, used while the dispatcher is unreachable.
 *
 * <p>The share is the number of slots of the pool divided by the number of live members, rounded
 * down, but at least one if the pool has any slot.
 */
final class FallbackSlotSource implements SlotSource {

  private final Pool pool;
  private final EndpointTable table;
  private final IntSupplier liveMembers;
  private final IntSupplier usedSlots;
  private final SlotSource slots;

  /**
   * Creates a slot source.
   *
   * @param liveMembers number of live members
   * @param usedSlots slots that this gateway holds, granted by a dispatcher or from the share
   */
  FallbackSlotSource(
      DispatchContext context, Pool pool, IntSupplier liveMembers, IntSupplier usedSlots) {
    this.pool = pool;
    this.table = context.table();
    this.liveMembers = liveMembers;
    this.usedSlots = usedSlots;
    this.slots = new TableSlotSource(pool, table, context.chooser(), context.clock());
  }

  @Override
  public boolean hasEndpoint(LeaseRequest request) {
    return slots.hasEndpoint(request);
  }

  @Override
  public int freeSlots() {
    int total =
        table.candidates(pool, Set.of()).stream()
            .map(snapshot -> snapshot.endpoint())
            .mapToInt(Endpoint::slots)
            .sum();
    int share = total == 0 ? 0 : Math.max(1, total / Math.max(1, liveMembers.getAsInt()));
    return Math.max(0, share - usedSlots.getAsInt());
  }

  @Override
  public Optional<String> take(LeaseRequest request) {
    return freeSlots() > 0 ? slots.take(request) : Optional.empty();
  }

  @Override
  public void adopt(String endpoint, LeaseRequest request) {
    slots.adopt(endpoint, request);
  }

  @Override
  public void release(String endpoint, LeaseRequest request, SlotUse use) {
    slots.discard(endpoint, request);
  }

  @Override
  public void discard(String endpoint, LeaseRequest request) {
    slots.discard(endpoint, request);
  }
}
