package org.zinniaspan.cli;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.zinniaspan.admin.RouterMetrics;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.dispatch.DispatchContext;
import org.zinniaspan.dispatch.Dispatcher;
import org.zinniaspan.dispatch.DispatcherSlotService;
import org.zinniaspan.dispatch.SlotDecisionLog;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.PeerMessageRouter;

/**
 * Creates the dispatcher and the slot service of one VM and registers both for peer messages.
 *
 * <p>The dispatcher grants the slots of the pools that this VM owns; the slot service requests
 * slots for the gateway.
 */
final class DispatchComponents {

  private final DispatchContext context;
  private final Dispatcher dispatcher;
  private final DispatcherSlotService service;

  DispatchComponents(DispatchContext context, PeerLink link, PeerMessageRouter peers) {
    this.context = context;
    this.dispatcher = new Dispatcher(context, link);
    this.service = new DispatcherSlotService(context, link);
    peers.register(dispatcher, Dispatcher.bodyCases());
    peers.register(service, DispatcherSlotService.bodyCases());
  }

  SlotService service() {
    return service;
  }

  List<Ticking> ticking() {
    return List.of(dispatcher, service);
  }

  /**
   * Returns whether this process polls the load reports of an endpoint.
   *
   * <p>That is so if this VM owns one of the endpoint's pools, or if the slot service is in
   * fallback for one.
   */
  boolean pollsLoadOf(Endpoint endpoint) {
    return DispatchContext.pools(endpoint)
        .anyMatch(pool -> context.isOwner(pool) || service.isFallback(pool));
  }

  /** Returns the name of the owner VM of each pool in this availability zone, by pool id. */
  Map<String, String> ownersByPool() {
    Map<String, String> owners = new TreeMap<>();
    context.table().endpoints().stream()
        .flatMap(DispatchContext::pools)
        .forEach(pool -> owners.put(pool.id(), context.ownerOf(pool)));
    return owners;
  }

  /** Adds gauges for slots, queues, fallbacks, refusals and preemptions. */
  void registerMetrics(RouterMetrics metrics, SlotDecisionLog log) {
    metrics.addLabelledGauge(
        "zinniaspan_slots_held", "Slots lent, by pool owned here.", "pool", dispatcher::heldByPool);
    metrics.addLabelledGauge(
        "zinniaspan_slot_queue",
        "Waiting requests.",
        "pool_tier",
        dispatcher::waitingByPoolAndTier);
    metrics.addLabelledGauge(
        "zinniaspan_slot_fallback",
        "1 while the pool's dispatcher is out of reach.",
        "pool",
        service::fallbackByPool);
    metrics.addLabelledGauge(
        "zinniaspan_slot_refusals", "Refusals since the start.", "reason", log::refusals);
    metrics.addGauge(
        "zinniaspan_slot_preemptions", "Preemptions since the start.", log::preemptions);
  }
}
