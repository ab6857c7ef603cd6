package org.zinniaspan.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.zinniaspan.forwarding.Catalog;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.forwarding.EndpointPage;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.OperatorState;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.peer.proto.CatalogEndpoint;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.CatalogState;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.peer.proto.SlotAssignment;
import org.zinniaspan.peer.proto.SlotAssignmentQuery;
import org.zinniaspan.peer.proto.StreamOriginQuery;
import org.zinniaspan.peer.proto.StreamOriginReceipt;
import org.zinniaspan.peer.proto.StreamOriginReply;
import org.zinniaspan.peer.proto.StreamOriginUpdate;

/** The calls of one VM of a {@link FleetSimulation} to the store and to other VMs. */
final class SimulatedCalls implements Catalog, PeerClient {

  private final FleetSimulation simulation;
  private final FleetSimulation.Vm vm;
  private final List<PendingCall> pendingCalls = new ArrayList<>();
  long originUpdates;
  long changeReads;

  private record PendingCall(long dueMs, Runnable onTimeout) {}

  SimulatedCalls(FleetSimulation simulation, FleetSimulation.Vm vm) {
    this.simulation = simulation;
    this.vm = vm;
  }

  /** Ends the calls whose timeout has passed. */
  void tick() {
    List<PendingCall> expired =
        pendingCalls.stream().filter(call -> call.dueMs() <= vm.steadyMs()).toList();
    pendingCalls.removeAll(expired);
    expired.forEach(call -> call.onTimeout().run());
  }

  /** Calls the callback once: with the reply, or with the failure after the timeout. */
  private <T> Consumer<T> once(long timeoutMs, Consumer<T> callback, T failure) {
    boolean[] done = {false};
    Consumer<T> guarded =
        result -> {
          if (!done[0]) {
            done[0] = true;
            callback.accept(result);
          }
        };
    pendingCalls.add(new PendingCall(vm.steadyMs() + timeoutMs, () -> guarded.accept(failure)));
    return guarded;
  }

  private <T> void callStore(
      long waitMs,
      Consumer<CatalogResult<T>> callback,
      Supplier<Optional<CatalogResult<T>>> answer) {
    simulation.store.calls++;
    Consumer<CatalogResult<T>> guarded =
        once(
            PlatformBounds.PLATFORM_TIMEOUT_MS + waitMs,
            callback,
            new CatalogResult.Failed<>("timeout"));
    long endMs = simulation.nowMs + waitMs;
    simulation.at(2, () -> awaitAnswer(endMs, guarded, answer));
  }

  private <T> void awaitAnswer(
      long endMs,
      Consumer<CatalogResult<T>> callback,
      Supplier<Optional<CatalogResult<T>>> answer) {
    if (simulation.store.down || simulation.isCut(vm.address, SimulatedStore.NAME)) {
      return;
    }
    if (simulation.store.refused.contains(vm.address)) {
      simulation.deliver(
          SimulatedStore.NAME, vm, () -> callback.accept(new CatalogResult.Failed<>("status 503")));
      return;
    }
    Optional<CatalogResult<T>> result = answer.get();
    if (result.isPresent()) {
      simulation.deliver(SimulatedStore.NAME, vm, () -> callback.accept(result.get()));
    } else if (simulation.nowMs < endMs) {
      simulation.at(5, () -> awaitAnswer(endMs, callback, answer));
    }
  }

  @Override
  public void readOperatorState(Consumer<CatalogResult<OperatorState>> callback) {
    callStore(0, callback, () -> Optional.of(simulation.store.readOperatorState()));
  }

  @Override
  public Optional<RoutingTable> decodeTable(byte[] document) {
    long version = Long.parseLong(new String(document, StandardCharsets.US_ASCII));
    return Optional.of(
        new RoutingTable(
            version, List.of(), Map.of(), Map.of(), true, InboundLimits.DEFAULT, document));
  }

  @Override
  public void readEndpoints(Consumer<CatalogResult<List<EndpointPage>>> callback) {
    callStore(0, callback, () -> Optional.of(simulation.store.readEndpoints()));
  }

  @Override
  public void watch(
      long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> callback) {
    long endMs = simulation.nowMs + waitMs;
    callStore(
        waitMs,
        callback,
        () -> {
          return simulation.store.hasChanges(afterRevision) || simulation.nowMs >= endMs - 10
              ? Optional.of(simulation.store.readChanges(afterRevision))
              : Optional.empty();
        });
  }

  @Override
  public void readChanges(
      long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
    changeReads++;
    callStore(0, callback, () -> Optional.of(simulation.store.readEndpointChanges(afterRevision)));
  }

  private <T> void callPeer(
      String peer,
      long timeoutMs,
      Consumer<Optional<T>> callback,
      BiConsumer<FleetSimulation.Vm, Consumer<T>> handler) {
    Consumer<Optional<T>> guarded = once(timeoutMs, callback, Optional.empty());
    FleetSimulation.Vm target = simulation.vms.get(peer);
    if (target == null) {
      simulation.at(1, () -> vm.run(() -> guarded.accept(Optional.empty())));
      return;
    }
    simulation.deliver(
        vm.address,
        target,
        () ->
            handler.accept(
                target,
                reply -> simulation.deliver(peer, vm, () -> guarded.accept(Optional.of(reply)))));
  }

  @Override
  public void exchangeMembers(
      String peer,
      FleetMembers message,
      long timeoutMs,
      Consumer<Optional<FleetMembers>> callback) {
    callPeer(
        peer,
        timeoutMs,
        callback,
        (target, reply) -> reply.accept(target.members.onExchange(message)));
  }

  @Override
  public void queryCatalog(
      String peer, CatalogQuery query, long timeoutMs, Consumer<Optional<CatalogState>> callback) {
    callPeer(
        peer,
        timeoutMs,
        callback,
        (target, reply) -> {
          Consumer<CatalogState> known =
              state ->
                  reply.accept(
                      simulation.assignsSlots.test(peer) ? state : ofEarlierRelease(state));
          if (simulation.sharesEvacuations.test(peer)) {
            target.service.onQuery(query, known);
          } else {
            target.service.onQuery(
                query.toBuilder().clearEvacuatedZones().build(),
                state -> known.accept(state.toBuilder().clearEvacuatedZones().build()));
          }
        });
  }

  /** Returns a state without what VMs of the release before do not pass on. */
  private static CatalogState ofEarlierRelease(CatalogState state) {
    CatalogState.Builder earlier = state.toBuilder();
    earlier.getEndpointsBuilderList().forEach(CatalogEndpoint.Builder::clearColdForMs);
    return earlier.build();
  }

  @Override
  public void queryEngines(
      String peer, EngineQuery query, long timeoutMs, Consumer<Optional<EngineState>> callback) {
    callPeer(peer, timeoutMs, callback, (target, reply) -> target.board.onQuery(query, reply));
  }

  @Override
  public void updateOrigins(
      String peer,
      StreamOriginUpdate update,
      long timeoutMs,
      Consumer<Optional<StreamOriginReceipt>> callback) {
    originUpdates++;
    callPeer(
        peer,
        timeoutMs,
        callback,
        (target, reply) -> reply.accept(target.origins.sharing().onUpdate(update)));
  }

  @Override
  public void queryOrigin(
      String peer,
      StreamOriginQuery query,
      long timeoutMs,
      Consumer<Optional<StreamOriginReply>> callback) {
    callPeer(
        peer,
        timeoutMs,
        callback,
        (target, reply) -> target.origins.lookup().onQuery(query, reply));
  }

  @Override
  public void querySlots(
      String peer,
      SlotAssignmentQuery query,
      long timeoutMs,
      Consumer<Optional<SlotAssignment>> callback) {
    callPeer(
        peer,
        timeoutMs,
        callback,
        (target, reply) -> target.slots.ifPresent(other -> other.assigner().onQuery(query, reply)));
  }
}
