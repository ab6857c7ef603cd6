package org.zinniaspan.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.BufferBudget;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/** Accepts clients' requests and tracks each one until it is finished. */
final class ForwardServer implements InboundHandler, RelayReceiver, Ticking {

  /**
   * Time between two checks for pooled connections that have been idle too long, in milliseconds.
   */
  private static final long IDLE_CHECK_INTERVAL_MS = 500;

  private final ForwardContext context;
  private final Clock clock;
  private final ShutdownSequence shutdown;
  private final Set<InboundConnection> connections = new HashSet<>();
  private final Map<InboundConnection, ProxiedRequest> requests = new HashMap<>();
  private long nextIdleCheckMs;

  ForwardServer(ForwardContext context, ShutdownSequence shutdown) {
    this.context = context;
    this.clock = context.clock();
    this.shutdown = shutdown;
  }

  @Override
  public InboundLimits limits() {
    return context.follower().table().map(RoutingTable::limits).orElse(InboundLimits.DEFAULT);
  }

  @Override
  public BufferBudget bodyBudget(HttpRequest head) {
    return context.bodies().requests();
  }

  @Override
  public void onOpen(InboundConnection connection) {
    connections.add(connection);
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    if (shutdown.isStopping()) {
      connection.closeAfterResponse();
    }
    start(connection, new ProxiedRequest(context, connection, head, body, false));
  }

  @Override
  public void onRelayedRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    if (shutdown.isStopping()) {
      connection.closeAfterResponse();
    }
    context.metrics().recordRelay("received");
    // A planned stop waits for the responses on these connections, too.
    connections.add(connection);
    start(connection, new ProxiedRequest(context, connection, head, body, true));
  }

  @Override
  public void onBudgetExhausted(InboundConnection connection, HttpRequest head) {
    refuseForMemory(connection, head, false);
  }

  @Override
  public void onRelayBudgetExhausted(InboundConnection connection, HttpRequest head) {
    refuseForMemory(connection, head, true);
  }

  private void refuseForMemory(InboundConnection connection, HttpRequest head, boolean relayed) {
    ProxiedRequest request = new ProxiedRequest(context, connection, head, new byte[0], relayed);
    requests.put(connection, request);
    request.refuseForLackOfResources();
    removeIfFinished(connection, request);
  }

  private void start(InboundConnection connection, ProxiedRequest request) {
    requests.put(connection, request);
    if (shutdown.refusesNewRequests(clock.nowMs())) {
      request.refuseForShutdown();
    } else if (context.vmLimits().isExhausted(openSockets(), bodyBytes())) {
      request.refuseForLackOfResources();
    } else {
      request.start();
    }
    removeIfFinished(connection, request);
  }

  /** Returns about how many sockets are open: those of clients, and one for each request. */
  private int openSockets() {
    return connections.size() + requests.size();
  }

  private long bodyBytes() {
    return requests.values().stream().mapToLong(ProxiedRequest::bodyBytes).sum();
  }

  private void removeIfFinished(InboundConnection connection, ProxiedRequest request) {
    if (request.isFinished()) {
      requests.remove(connection, request);
    }
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    EventLog.event("request-unreadable").with("status", status).with("reason", reason).info();
    HttpResponse response =
        context.dialect().localResponse(status, Optional.empty(), Optional.empty());
    connection.sendResponse(response, new byte[0]);
  }

  @Override
  public void onDisconnect(InboundConnection connection) {
    connections.remove(connection);
    ProxiedRequest request = requests.remove(connection);
    if (request != null) {
      request.onClientLeft();
    }
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    probeEndpoints();
    for (Map.Entry<InboundConnection, ProxiedRequest> entry : inOrderOfUrgency()) {
      tick(entry.getKey(), entry.getValue(), now);
    }
    if (now >= nextIdleCheckMs) {
      nextIdleCheckMs = now + IDLE_CHECK_INTERVAL_MS;
      connections.removeIf(connection -> !connection.isOpen());
      context.connections().closeExpired();
    }
  }

  /** Checks one request; one whose check fails is ended, so that the others are checked too. */
  private void tick(InboundConnection connection, ProxiedRequest request, long nowMs) {
    try {
      request.tick(nowMs);
      removeIfFinished(connection, request);
    } catch (RuntimeException e) {
      EventLog.event("request-fault").with("id", request.attemptId()).with("error", e).warn();
      connections.remove(connection);
      requests.remove(connection, request);
      connection.close();
      request.endAfterFault();
    }
  }

  /** Returns all requests; if some wait for room, the most urgent ones first. */
  private List<Map.Entry<InboundConnection, ProxiedRequest>> inOrderOfUrgency() {
    List<Map.Entry<InboundConnection, ProxiedRequest>> entries =
        new ArrayList<>(requests.entrySet());
    if (requests.values().stream().anyMatch(ProxiedRequest::isAwaitingRoom)) {
      entries.sort(
          Comparator.comparing(
              Map.Entry::getValue,
              Comparator.comparingInt(ProxiedRequest::rank)
                  .thenComparingLong(ProxiedRequest::arrivalMs)));
    }
    return entries;
  }

  /** Sends the requests that wait for room, the most urgent ones first. */
  void sendWaiting() {
    long now = clock.nowMs();
    for (Map.Entry<InboundConnection, ProxiedRequest> entry : inOrderOfUrgency()) {
      if (entry.getValue().isAwaitingRoom()) {
        tick(entry.getKey(), entry.getValue(), now);
      }
    }
  }

  private void probeEndpoints() {
    EndpointReachability reachability = context.reachability();
    for (ListedEndpoint endpoint : reachability.nextProbes(context.directory()::entries)) {
      context
          .connections()
          .probe(
              endpoint,
              opened -> {
                if (opened) {
                  reachability.onConnected(endpoint.id());
                } else {
                  reachability.onConnectFailed(endpoint.id());
                }
              });
    }
  }

  /**
   * Returns the number of requests that have begun to arrive and whose final response has not been
   * written completely.
   */
  int inFlight() {
    requests.values().removeIf(ProxiedRequest::isFinished);
    long busy =
        connections.stream()
            .filter(c -> c.isOpen() && (c.unsentBytes() > 0 || c.isReadingRequest()))
            .count();
    return requests.size() + (int) busy;
  }

  /**
   * Ends all requests, and closes all connections in an orderly way, so that bytes already written
   * are delivered.
   */
  void closeAll() {
    List.copyOf(requests.values()).stream()
        .filter(request -> !request.isFinished())
        .forEach(ProxiedRequest::endForShutdown);
    requests.clear();
    List.copyOf(connections).forEach(InboundConnection::close);
    connections.clear();
  }

  /** Closes the connections without a request in progress. */
  void closeIdle() {
    for (InboundConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.close();
        connections.remove(connection);
      }
    }
  }
}
