package org.zinniaspan.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Envelope.BodyCase;

/**
 * Leases slots from the dispatcher of each pool, on whichever VM that runs.
 *
 * <p>Each request gets one response, at the latest at its deadline. The state of each pool has its
 * own lock; messages are sent and futures completed without holding a lock.
 */
public final class DispatcherSlotService implements SlotService, PeerHandler, Ticking {

  private static final BodyCase[] BODY_CASES = {
    BodyCase.SLOT_GRANT,
    BodyCase.SLOT_REFUSAL,
    BodyCase.SLOT_PREEMPTION,
    BodyCase.SLOT_RECEIPT,
    BodyCase.SLOT_REGISTRATION_CALL
  };

  private final DispatchContext context;
  private final PeerLink link;
  private final PauseDetector pauses;
  private final Map<Pool, GatewayShard> shards = new ConcurrentHashMap<>();
  private final Map<String, Pool> poolByAttempt = new ConcurrentHashMap<>();

  /** Creates a service that reaches dispatchers over the link. */
  public DispatcherSlotService(DispatchContext context, PeerLink link) {
    this.context = context;
    this.link = link;
    this.pauses = new PauseDetector(context.clock(), DispatchContext.MAX_TICK_GAP_MS);
  }

  /** Returns the kinds of message body that a gateway handles. */
  public static BodyCase[] bodyCases() {
    return BODY_CASES.clone();
  }

  @Override
  public CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt) {
    resetAfterPause();
    CompletableFuture<LeaseResponse> response = new CompletableFuture<>();
    poolByAttempt.put(request.attemptId(), request.pool());
    shard(request.pool()).acquire(request, onPreempt, response).run(link);
    return response.whenComplete((result, error) -> removeIfRefused(request, result));
  }

  private void removeIfRefused(LeaseRequest request, LeaseResponse response) {
    if (response instanceof LeaseResponse.Refused) {
      poolByAttempt.remove(request.attemptId());
    }
  }

  @Override
  public void withdraw(String attemptId) {
    runOnShard(poolByAttempt.get(attemptId), shard -> shard.withdraw(attemptId));
  }

  @Override
  public void release(String attemptId, SlotUse use) {
    runOnShard(poolByAttempt.remove(attemptId), shard -> shard.release(attemptId, use));
  }

  @Override
  public void handle(Envelope message) {
    resetAfterPause();
    SlotMessages.poolOf(message)
        .ifPresent(pool -> runOnShard(pool, shard -> shard.handle(message)));
  }

  @Override
  public void tick() {
    resetAfterPause();
    shards.values().forEach(shard -> shard.tick().run(link));
  }

  /**
   * Returns whether this gateway grants slots of a pool from its own share, because the dispatcher
   * is unreachable.
   */
  public boolean isFallback(Pool pool) {
    GatewayShard shard = shards.get(pool);
    return shard != null && shard.isFallback();
  }

  /** Returns 1 for each pool whose dispatcher is unreachable, 0 for the others. */
  public Map<String, Double> fallbackByPool() {
    Map<String, Double> fallbacks = new TreeMap<>();
    shards.forEach((pool, shard) -> fallbacks.put(pool.id(), shard.isFallback() ? 1.0 : 0.0));
    return fallbacks;
  }

  private void resetAfterPause() {
    if (pauses.observe()) {
      shards.values().forEach(shard -> shard.resetAfterPause().run(link));
    }
  }

  private void runOnShard(Pool pool, Function<GatewayShard, DeferredActions> action) {
    if (pool != null) {
      action.apply(shard(pool)).run(link);
    }
  }

  private GatewayShard shard(Pool pool) {
    return shards.computeIfAbsent(pool, key -> new GatewayShard(key, context));
  }
}
