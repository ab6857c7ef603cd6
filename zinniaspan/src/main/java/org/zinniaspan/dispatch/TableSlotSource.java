package org.zinniaspan.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointSnapshot;
import org.zinniaspan.routing.EndpointTable;

/**
 * Slot source backed by this process's endpoint table.
 *
 * <p>The owner of a pool grants from it directly, a gateway in fallback through {@link
 * FallbackSlotSource}.
 */
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
  public boolean hasEndpoint(LeaseRequest request) {
    return table.endpointsOf(pool).stream()
        .anyMatch(endpoint -> !request.excluded().contains(endpoint.name()));
  }

  @Override
  public int freeSlots() {
    return table.candidates(pool, Set.of()).stream().mapToInt(EndpointSnapshot::freeSlots).sum();
  }

  @Override
  public Optional<String> take(LeaseRequest request) {
    List<EndpointSnapshot> candidates = table.candidates(pool, request.excluded());
    Optional<String> chosen =
        chooser
            .choose(request, candidates, clock.nowMs())
            .map(snapshot -> snapshot.endpoint().name());
    chosen.ifPresent(endpoint -> table.recordSlotHeld(endpoint, request));
    return chosen;
  }

  @Override
  public void adopt(String endpoint, LeaseRequest request) {
    table.recordSlotHeld(endpoint, request);
  }

  @Override
  public void release(String endpoint, LeaseRequest request, SlotUse use) {
    table.recordSlotFreed(endpoint, request.attemptId());
    table.recordUse(endpoint, use);
  }

  @Override
  public void discard(String endpoint, LeaseRequest request) {
    table.recordSlotFreed(endpoint, request.attemptId());
  }
}
