package org.zinniaspan.proxy;

import java.util.ArrayList;
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
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/** Takes clients' requests and follows each to its end. */
final class ForwardServer implements InboundHandler, Ticking {

  /** Time between two looks at idle connections, in milliseconds. */
  private static final long IDLE_CHECK_MS = 500;

  private final ForwardContext context;
  private final Clock clock;
  private final StopPlan stop;
  private final Set<InboundConnection> connections = new HashSet<>();
  private final Map<InboundConnection, Exchange> exchanges = new HashMap<>();
  private long nextIdleCheckMs;

  ForwardServer(ForwardContext context, StopPlan stop) {
    this.context = context;
    this.clock = context.clock();
    this.stop = stop;
  }

  @Override
  public InboundLimits limits() {
    return context.follower().table().map(RoutingTable::limits).orElse(InboundLimits.DEFAULT);
  }

  @Override
  public void onOpen(InboundConnection connection) {
    connections.add(connection);
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    if (stop.isStopping()) {
      connection.closeAfterAnswer();
    }
    Exchange exchange = new Exchange(context, connection, head, body);
    exchanges.put(connection, exchange);
    if (stop.refusesNew(clock.nowMs())) {
      exchange.refuseForStop();
    } else {
      exchange.start();
    }
    forgetIfDone(connection, exchange);
  }

  private void forgetIfDone(InboundConnection connection, Exchange exchange) {
    if (exchange.isDone()) {
      exchanges.remove(connection, exchange);
    }
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    EventLog.event("request-unreadable").with("status", status).with("reason", reason).info();
    HttpResponse answer = context.dialect().ownAnswer(status, Optional.empty(), Optional.empty());
    connection.answer(answer, new byte[0]);
  }

  @Override
  public void onLost(InboundConnection connection) {
    connections.remove(connection);
    Exchange exchange = exchanges.remove(connection);
    if (exchange != null) {
      exchange.onClientLeft();
    }
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    for (Map.Entry<InboundConnection, Exchange> entry : List.copyOf(exchanges.entrySet())) {
      entry.getValue().tick(now);
      forgetIfDone(entry.getKey(), entry.getValue());
    }
    if (now >= nextIdleCheckMs) {
      nextIdleCheckMs = now + IDLE_CHECK_MS;
      List<InboundConnection> all = new ArrayList<>(connections);
      all.removeIf(connection -> !connection.isOpen());
      connections.retainAll(all);
      all.forEach(connection -> connection.checkTimeout(now));
      context.connections().closeIdle();
    }
  }

  /** Returns the number of requests whose final answer the client has not been sent whole. */
  int inFlight() {
    exchanges.values().removeIf(Exchange::isDone);
    long unsent = connections.stream().filter(c -> c.isOpen() && c.unsentBytes() > 0).count();
    return exchanges.size() + (int) unsent;
  }

  /** Closes all connections in order, so that what was sent is delivered. */
  void closeAll() {
    List.copyOf(connections).forEach(InboundConnection::close);
    connections.clear();
  }

  /** Closes the connections that carry no request. */
  void closeIdle() {
    for (InboundConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.close();
        connections.remove(connection);
      }
    }
  }
}
