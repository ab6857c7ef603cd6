package org.zinniaspan.dispatch;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Envelope.BodyCase;

/**
 * Grants the slots of the pools that this process owns to the gateways of its availability zone.
 *
 * <p>Keeps only soft state, which gateways rebuild by registering with each new owner. The state of
 * each pool has its own lock; messages are sent without holding a lock.
 */
public final class Dispatcher implements PeerHandler, Ticking {

  private static final BodyCase[] BODY_CASES = {
    BodyCase.SLOT_REQUEST,
    BodyCase.SLOT_RELEASE,
    BodyCase.SLOT_REGISTRATION,
    BodyCase.SLOT_ACCEPTANCE
  };

  private final DispatchContext context;
  private final PeerLink link;
  private final PauseDetector pauses;
  private final Map<Pool, DispatcherShard> shards = new ConcurrentHashMap<>();

  /** Creates a dispatcher that sends its replies over the link. */
  public Dispatcher(DispatchContext context, PeerLink link) {
    this.context = context;
    this.link = link;
    this.pauses = new PauseDetector(context.clock(), DispatchContext.MAX_TICK_GAP_MS);
  }

  /** Returns the kinds of message body that a dispatcher handles. */
  public static BodyCase[] bodyCases() {
    return BODY_CASES.clone();
  }

  @Override
  public void handle(Envelope message) {
    resetAfterPause();
    SlotMessages.poolOf(message).ifPresent(pool -> send(shard(pool).handle(message)));
  }

  @Override
  public void tick() {
    resetAfterPause();
    context.pools().forEach(this::shard);
    shards.values().forEach(shard -> send(shard.tick()));
  }

  /** Returns the number of granted slots, by pool that this process owns. */
  public Map<String, Double> heldByPool() {
    Map<String, Double> held = new TreeMap<>();
    shards.forEach(
        (pool, shard) -> {
          if (shard.isActive()) {
            held.put(pool.id(), (double) shard.held());
          }
        });
    return held;
  }

  /** Returns the number of waiting requests, by pool that this process owns and by tier. */
  public Map<String, Double> waitingByPoolAndTier() {
    Map<String, Double> waiting = new TreeMap<>();
    shards.forEach(
        (pool, shard) ->
            shard
                .waitingByTier()
                .forEach((tier, size) -> waiting.put(pool.id() + "/tier-" + tier, (double) size)));
    return waiting;
  }

  private void resetAfterPause() {
    if (pauses.observe()) {
      shards.values().forEach(shard -> send(shard.resetAfterPause()));
    }
  }

  private DispatcherShard shard(Pool pool) {
    return shards.computeIfAbsent(pool, key -> new DispatcherShard(key, context));
  }

  private void send(List<OutgoingMessage> messages) {
    messages.forEach(outgoing -> link.send(outgoing.vm(), outgoing.message()));
  }
}
