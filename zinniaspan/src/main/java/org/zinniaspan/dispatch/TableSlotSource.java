package org.zinniaspan.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointSnapshot;
import org.zinniaspan.routing.EndpointTable;

/** The slots of a pool of which this process is the owner. */
final class TableSlotSource implements SlotSource {

  private final Pool pool;
  private final EndpointTable table;
  private final EndpointChooser chooser;
  private final Clock clock;

  TableSlotSource(Pool pool, EndpointTable table, EndpointChooser chooser, Clock clock) {
    this.pool = pool;
    this.table = table;
    this.chooser = chooser;
    this.clock = clock;
  }

  @Override
  public boolean hasEndpoint(SlotAsk ask) {
    return table.endpointsOf(pool).stream()
        .anyMatch(endpoint -> !ask.excluded().contains(endpoint.name()));
  }

  @Override
  public int free() {
    return table.candidates(pool, Set.of()).stream().mapToInt(EndpointSnapshot::freeSlots).sum();
  }

  @Override
  public Optional<String> take(SlotAsk ask) {
    List<EndpointSnapshot> candidates = table.candidates(pool, ask.excluded());
    Optional<String> chosen =
        chooser.choose(ask, candidates, clock.nowMs()).map(state -> state.endpoint().name());
    chosen.ifPresent(endpoint -> table.recordSlotHeld(endpoint, ask));
    return chosen;
  }

  @Override
  public void adopt(String endpoint, SlotAsk ask) {
    table.recordSlotHeld(endpoint, ask);
  }

  @Override
  public void give(String endpoint, SlotAsk ask, SlotUse use) {
    table.recordSlotFreed(endpoint, ask.attemptId());
    table.recordUse(endpoint, use);
  }

  @Override
  public void forget(String endpoint, SlotAsk ask) {
    table.recordSlotFreed(endpoint, ask.attemptId());
  }
}
