package org.zinniaspan.standins.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointSnapshot;
import org.zinniaspan.routing.EndpointTable;

/** Lends slots in order of arrival to all gateways; refuses only when its queue is full. */
final class FirstComeSlots implements SlotService {

  private static final long GRANT_VALID_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private record Waiting(LeaseRequest ask, CompletableFuture<LeaseResponse> answer) {}

  private final EndpointTable table;
  private final EndpointChooser chooser;
  private final Clock clock;
  private final int limit;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private final Map<String, String> held = new HashMap<>();

  FirstComeSlots(EndpointTable table, EndpointChooser chooser, Clock clock, int limit) {
    this.table = table;
    this.chooser = chooser;
    this.clock = clock;
    this.limit = limit;
  }

  @Override
  public CompletableFuture<LeaseResponse> acquire(LeaseRequest ask, Runnable onPreempt) {
    CompletableFuture<LeaseResponse> answer = new CompletableFuture<>();
    if (queue.size() >= limit) {
      answer.complete(
          new LeaseResponse.Refused(NotRunReason.OVERLOADED, Optional.of(RETRY_AFTER_MS)));
    } else {
      queue.add(new Waiting(ask, answer));
      serve();
    }
    return answer;
  }

  @Override
  public void withdraw(String attemptId) {
    queue.removeIf(waiting -> waiting.ask().attemptId().equals(attemptId));
  }

  @Override
  public void release(String attemptId, SlotUse use) {
    table.recordSlotFreed(held.remove(attemptId), attemptId);
    serve();
  }

  private void serve() {
    while (!queue.isEmpty()) {
      LeaseRequest ask = queue.peek().ask();
      Optional<EndpointSnapshot> chosen =
          chooser.choose(ask, table.candidates(ask.pool(), ask.excluded()), clock.nowMs());
      if (chosen.isEmpty()) {
        return;
      }
      String endpoint = chosen.get().endpoint().name();
      table.recordSlotHeld(endpoint, ask);
      held.put(ask.attemptId(), endpoint);
      long expiresAtMs = clock.nowMs() + GRANT_VALID_MS;
      queue.poll().answer().complete(new LeaseResponse.Granted(endpoint, expiresAtMs));
    }
  }
}
