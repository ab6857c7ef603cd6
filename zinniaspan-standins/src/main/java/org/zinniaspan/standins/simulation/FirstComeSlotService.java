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

/**
 * Grants slot leases in order of arrival from one queue that all gateways share.
 *
 * <p>It ignores classes, deadlines and fairness, and refuses a request only if the queue is full.
 */
final class FirstComeSlotService implements SlotService {

  private static final long LEASE_VALID_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private record QueuedRequest(LeaseRequest request, CompletableFuture<LeaseResponse> response) {}

  private final EndpointTable table;
  private final EndpointChooser chooser;
  private final Clock clock;
  private final int queueLimit;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private final Map<String, String> endpointByAttempt = new HashMap<>();

  FirstComeSlotService(EndpointTable table, EndpointChooser chooser, Clock clock, int queueLimit) {
    this.table = table;
    this.chooser = chooser;
    this.clock = clock;
    this.queueLimit = queueLimit;
  }

  @Override
  public CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt) {
    CompletableFuture<LeaseResponse> response = new CompletableFuture<>();
    if (queue.size() >= queueLimit) {
      response.complete(
          new LeaseResponse.Refused(NotRunReason.OVERLOADED, Optional.of(RETRY_AFTER_MS)));
    } else {
      queue.add(new QueuedRequest(request, response));
      grantQueued();
    }
    return response;
  }

  @Override
  public void withdraw(String attemptId) {
    queue.removeIf(queued -> queued.request().attemptId().equals(attemptId));
  }

  @Override
  public void release(String attemptId, SlotUse use) {
    table.recordSlotFreed(endpointByAttempt.remove(attemptId), attemptId);
    grantQueued();
  }

  /** Grants leases to queued requests until no endpoint has a free slot for the first one. */
  private void grantQueued() {
    while (!queue.isEmpty()) {
      LeaseRequest request = queue.peek().request();
      Optional<EndpointSnapshot> chosen =
          chooser.choose(
              request, table.candidates(request.pool(), request.excluded()), clock.nowMs());
      if (chosen.isEmpty()) {
        return;
      }
      String endpoint = chosen.get().endpoint().name();
      table.recordSlotHeld(endpoint, request);
      endpointByAttempt.put(request.attemptId(), endpoint);
      long expiresAtMs = clock.nowMs() + LEASE_VALID_MS;
      queue.poll().response().complete(new LeaseResponse.Granted(endpoint, expiresAtMs));
    }
  }
}
