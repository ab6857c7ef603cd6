package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.EndpointTable;

/**
 * A gateway's share of a pool while no dispatcher is in reach.
 *
 * <p>The share is the pool's slots over the live members, rounded down, and at least one.
 */
final class LocalShare implements SlotSource {

  private final Pool pool;
  private final EndpointTable table;
  private final IntSupplier members;
  private final IntSupplier used;
  private final SlotSource slots;

  /**
   * Creates a share.
   *
   * @param members number of live members
   * @param used slots that this gateway holds, from any lender
   */
  LocalShare(DispatchContext context, Pool pool, IntSupplier members, IntSupplier used) {
    this.pool = pool;
    this.table = context.table();
    this.members = members;
    this.used = used;
    this.slots = new TableSlotSource(pool, table, context.chooser(), context.clock());
  }

  @Override
  public boolean hasEndpoint(SlotAsk ask) {
    return slots.hasEndpoint(ask);
  }

  @Override
  public int free() {
    int total =
        table.candidates(pool, Set.of()).stream()
            .map(state -> state.endpoint())
            .mapToInt(Endpoint::slots)
            .sum();
    int share = total == 0 ? 0 : Math.max(1, total / Math.max(1, members.getAsInt()));
    return Math.max(0, share - used.getAsInt());
  }

  @Override
  public Optional<String> take(SlotAsk ask) {
    return free() > 0 ? slots.take(ask) : Optional.empty();
  }

  @Override
  public void adopt(String endpoint, SlotAsk ask) {
    slots.adopt(endpoint, ask);
  }

  @Override
  public void give(String endpoint, SlotAsk ask, SlotUse use) {
    slots.forget(endpoint, ask);
  }

  @Override
  public void forget(String endpoint, SlotAsk ask) {
    slots.forget(endpoint, ask);
  }
}
