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
 * Lends slots by what this process alone knows; the baseline in which each gateway decides alone.
 *
 * <p>State is kept by pool, each under its own lock.
 */
public final class LocalSlotService implements SlotService, Ticking {

  private static final long GRANT_VALID_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private final EndpointTable table;
  private final EndpointChooser chooser;
  private final Clock clock;
  private final Map<Pool, Shard> shards = new ConcurrentHashMap<>();
  private final Map<String, Held> heldByAttempt = new ConcurrentHashMap<>();

  /** Creates a service over a table of endpoints. */
  public LocalSlotService(EndpointTable table, EndpointChooser chooser, Clock clock) {
    this.table = table;
    this.chooser = chooser;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<SlotAnswer> acquire(SlotAsk ask, Runnable onPreempt) {
    CompletableFuture<SlotAnswer> answer = new CompletableFuture<>();
    Shard shard = shard(ask.pool());
    if (table.endpointsOf(ask.pool()).isEmpty()) {
      answer.complete(new SlotAnswer.Refused(NotRunReason.NO_ENDPOINT, Optional.empty()));
      return answer;
    }
    shard.add(new Waiting(ask, answer));
    serve(shard);
    return answer;
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
    Held held = heldByAttempt.remove(attemptId);
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

  private static void refuse(Waiting waiting, NotRunReason reason, Optional<Long> retryAfterMs) {
    waiting.answer().complete(new SlotAnswer.Refused(reason, retryAfterMs));
  }

  private void serve(Shard shard) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (shard) {
      while (shard.grantNext(answers)) {
        // Each turn grants one slot.
      }
    }
    answers.forEach(Runnable::run);
  }

  private record Waiting(SlotAsk ask, CompletableFuture<SlotAnswer> answer) {}

  private record Held(Pool pool, String endpoint) {}

  private final class Shard {

    private final Pool pool;
    private final PriorityQueue<Waiting> queue =
        new PriorityQueue<>(
            Comparator.<Waiting>comparingInt(waiting -> waiting.ask().serviceClass().tier())
                .thenComparingLong(waiting -> waiting.ask().deadlineMs()));

    Shard(Pool pool) {
      this.pool = pool;
    }

    synchronized void add(Waiting waiting) {
      queue.add(waiting);
    }

    synchronized Optional<Waiting> remove(String attemptId) {
      Optional<Waiting> found =
          queue.stream().filter(w -> w.ask().attemptId().equals(attemptId)).findFirst();
      found.ifPresent(queue::remove);
      return found;
    }

    synchronized List<Waiting> removeExpired(long nowMs) {
      List<Waiting> expired = queue.stream().filter(w -> w.ask().deadlineMs() <= nowMs).toList();
      queue.removeAll(expired);
      return expired;
    }

    boolean grantNext(List<Runnable> answers) {
      Waiting waiting = queue.peek();
      if (waiting == null) {
        return false;
      }
      SlotAsk ask = waiting.ask();
      List<EndpointSnapshot> candidates = table.candidates(pool, ask.excluded());
      Optional<EndpointSnapshot> chosen = chooser.choose(ask, candidates, clock.nowMs());
      if (chosen.isEmpty()) {
        return false;
      }
      queue.remove(waiting);
      String endpoint = chosen.get().endpoint().name();
      table.recordSlotHeld(endpoint, ask);
      heldByAttempt.put(ask.attemptId(), new Held(pool, endpoint));
      long expiresAtMs = clock.nowMs() + GRANT_VALID_MS;
      answers.add(() -> waiting.answer().complete(new SlotAnswer.Granted(endpoint, expiresAtMs)));
      return true;
    }
  }
}
