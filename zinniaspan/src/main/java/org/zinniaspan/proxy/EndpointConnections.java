package org.zinniaspan.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.transport.OutboundConnection;
import org.zinniaspan.transport.Reactor;

/** Connections to endpoints: opens them, and keeps idle ones for a short time. */
final class EndpointConnections {

  /** Longest time to open a connection before another endpoint is tried, in milliseconds. */
  private static final long CONNECT_TIMEOUT_MS = 350;

  /** Longest time that an idle connection is kept, in milliseconds. */
  private static final long MOST_IDLE_MS = 4_000;

  /** Time by which a connection is given up before its endpoint would close it, in ms. */
  private static final long CLOSE_MARGIN_MS = 800;

  private record Idle(OutboundConnection connection, long sinceMs) {}

  private final Reactor reactor;
  private final Clock clock;
  private final Map<String, Deque<Idle>> idle = new HashMap<>();

  EndpointConnections(Reactor reactor, Clock clock) {
    this.reactor = reactor;
    this.clock = clock;
  }

  /**
   * Returns a connection to an endpoint.
   *
   * @param maxIdleMs longest time that a kept connection may have been idle; 0 for a new one
   */
  OutboundConnection take(ListedEndpoint endpoint, long maxIdleMs) {
    Deque<Idle> kept = idle.get(endpoint.id());
    long now = clock.nowMs();
    while (maxIdleMs > 0 && kept != null && !kept.isEmpty()) {
      Idle newest = kept.pop();
      if (newest.connection().isReusable() && now - newest.sinceMs() <= maxIdleMs) {
        return newest.connection();
      }
      newest.connection().close();
    }
    return OutboundConnection.open(
        reactor,
        Addresses.parse(endpoint.address()),
        CONNECT_TIMEOUT_MS,
        lost -> forget(endpoint.id(), lost));
  }

  /** Keeps a connection whose answer is complete, or closes it. */
  void giveBack(ListedEndpoint endpoint, OutboundConnection connection) {
    if (connection.isReusable()) {
      idle.computeIfAbsent(endpoint.id(), id -> new ArrayDeque<>())
          .push(new Idle(connection, clock.nowMs()));
    } else {
      connection.close();
    }
  }

  /** Closes connections that were idle for long. */
  void closeIdle() {
    long now = clock.nowMs();
    for (Deque<Idle> kept : idle.values()) {
      Iterator<Idle> all = kept.iterator();
      while (all.hasNext()) {
        Idle entry = all.next();
        if (now - entry.sinceMs() > mostIdleMs(entry.connection())) {
          all.remove();
          entry.connection().close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private static long mostIdleMs(OutboundConnection connection) {
    long announcedMs = connection.keepAliveMs().orElse(MOST_IDLE_MS);
    return Math.min(MOST_IDLE_MS, Math.max(0, announcedMs - CLOSE_MARGIN_MS));
  }

  private void forget(String endpoint, OutboundConnection lost) {
    Deque<Idle> kept = idle.get(endpoint);
    if (kept != null) {
      kept.removeIf(entry -> entry.connection() == lost);
    }
  }
}
