package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointSnapshot;
import org.zinniaspan.routing.EndpointTable;

/**
 * Grants slots from this process's own view of the endpoints, without a dispatcher.
 *
 * <p>Serves as a baseline in which each gateway decides alone. The state of each pool has its own
 * lock.
 */
public final class LocalSlotService implements SlotService, Ticking {

  private static final long GRANT_VALID_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private final EndpointTable table;
  private final EndpointChooser chooser;
  private final Clock clock;
  private final Map<Pool, Shard> shards = new ConcurrentHashMap<>();
  private final Map<String, HeldSlotRecord> heldByAttempt = new ConcurrentHashMap<>();

  /** Creates a service over a table of endpoints. */
  public LocalSlotService(EndpointTable table, EndpointChooser chooser, Clock clock) {
    this.table = table;
    this.chooser = chooser;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt) {
    CompletableFuture<LeaseResponse> response = new CompletableFuture<>();
    Shard shard = shard(request.pool());
    if (table.endpointsOf(request.pool()).isEmpty()) {
      response.complete(new LeaseResponse.Refused(NotRunReason.NO_ENDPOINT, Optional.empty()));
      return response;
    }
    shard.add(new WaitingRequest(request, response));
    serve(shard);
    return response;
  }

  @Override
  public void withdraw(String attemptId) {
    for (Shard shard : shards.values()) {
      shard
          .remove(attemptId)
          .ifPresent(waiting -> refuse(waiting, NotRunReason.CALLER_LEFT, Optional.empty()));
    }
  }

  @Override
  public void release(String attemptId, SlotUse use) {
    HeldSlotRecord held = heldByAttempt.remove(attemptId);
    if (held == null) {
      return;
    }
    table.recordSlotFreed(held.endpoint(), attemptId);
    table.recordUse(held.endpoint(), use);
    serve(shard(held.pool()));
  }

  @Override
  public void tick() {
    for (Shard shard : shards.values()) {
      shard
          .removeExpired(clock.nowMs())
          .forEach(
              waiting -> refuse(waiting, NotRunReason.OVERLOADED, Optional.of(RETRY_AFTER_MS)));
      serve(shard);
    }
  }

  private Shard shard(Pool pool) {
    return shards.computeIfAbsent(pool, Shard::new);
  }

  private static void refuse(
      WaitingRequest waiting, NotRunReason reason, Optional<Long> retryAfterMs) {
    waiting.response().complete(new LeaseResponse.Refused(reason, retryAfterMs));
  }

  private void serve(Shard shard) {
    List<Runnable> responses = new ArrayList<>();
    synchronized (shard) {
      while (shard.grantNext(responses)) {
        // Each call grants one slot.
      }
    }
    responses.forEach(Runnable::run);
  }

  private record WaitingRequest(LeaseRequest request, CompletableFuture<LeaseResponse> response) {}

  private record HeldSlotRecord(Pool pool, String endpoint) {}

  private final class Shard {

    private final Pool pool;
    private final PriorityQueue<WaitingRequest> queue =
        new PriorityQueue<>(
            Comparator.<WaitingRequest>comparingInt(
                    waiting -> waiting.request().serviceClass().tier())
                .thenComparingLong(waiting -> waiting.request().deadlineMs()));

    Shard(Pool pool) {
      this.pool = pool;
    }

    synchronized void add(WaitingRequest waiting) {
      queue.add(waiting);
    }

    synchronized Optional<WaitingRequest> remove(String attemptId) {
      Optional<WaitingRequest> found =
          queue.stream()
              .filter(waiting -> waiting.request().attemptId().equals(attemptId))
              .findFirst();
      found.ifPresent(queue::remove);
      return found;
    }

    synchronized List<WaitingRequest> removeExpired(long nowMs) {
      List<WaitingRequest> expired =
          queue.stream().filter(waiting -> waiting.request().deadlineMs() <= nowMs).toList();
      queue.removeAll(expired);
      return expired;
    }

    boolean grantNext(List<Runnable> responses) {
      WaitingRequest waiting = queue.peek();
      if (waiting == null) {
        return false;
      }
      LeaseRequest request = waiting.request();
      List<EndpointSnapshot> candidates = table.candidates(pool, request.excluded());
      Optional<EndpointSnapshot> chosen = chooser.choose(request, candidates, clock.nowMs());
      if (chosen.isEmpty()) {
        return false;
      }
      queue.remove(waiting);
      String endpoint = chosen.get().endpoint().name();
      table.recordSlotHeld(endpoint, request);
      heldByAttempt.put(request.attemptId(), new HeldSlotRecord(pool, endpoint));
      long expiresAtMs = clock.nowMs() + GRANT_VALID_MS;
      responses.add(
          () -> waiting.response().complete(new LeaseResponse.Granted(endpoint, expiresAtMs)));
      return true;
    }
  }
}
