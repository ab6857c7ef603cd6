package org.zinniaspan.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.transport.BufferBudget;
import org.zinniaspan.transport.OutboundConnection;
import org.zinniaspan.transport.Reactor;

/**
 * A connection pool for endpoints and for VMs through which requests are relayed: opens
 * connections, and keeps idle ones for a short time.
 */
final class EndpointConnectionPool {

  /** Connect timeout in milliseconds, after which another endpoint is tried. */
  private static final long CONNECT_TIMEOUT_MS = 350;

  /** Longest time that an idle connection is kept, in milliseconds. */
  private static final long MAX_IDLE_MS = 4_000;

  /**
   * Time before the endpoint's announced idle timeout at which a connection is closed, in
   * milliseconds.
   */
  private static final long KEEP_ALIVE_MARGIN_MS = 800;

  private record IdleConnection(OutboundConnection connection, long idleSinceMs) {}

  private final Reactor reactor;
  private final Clock clock;
  private final BufferBudget budget;
  private final Map<String, Deque<IdleConnection>> idle = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param budget limits the unfinished heads of the responses on all connections together
   */
  EndpointConnectionPool(Reactor reactor, Clock clock, BufferBudget budget) {
    this.reactor = reactor;
    this.clock = clock;
    this.budget = budget;
  }

  /**
   * Returns an idle connection to an endpoint, the most recently used one first, or opens a new
   * one.
   *
   * @param maxIdleMs longest time that a reused connection may have been idle, in milliseconds; 0
   *     always opens a new one
   */
  OutboundConnection acquire(ListedEndpoint endpoint, long maxIdleMs) {
    return acquireConnection(endpoint.id(), endpoint.address(), maxIdleMs);
  }

  /**
   * Returns an idle connection to another VM, or opens a new one.
   *
   * @param vm peer address of the VM, as host:port
   * @param maxIdleMs as for endpoints
   */
  OutboundConnection acquireRelay(String vm, long maxIdleMs) {
    return acquireConnection(vm, vm, maxIdleMs);
  }

  private OutboundConnection acquireConnection(String key, String address, long maxIdleMs) {
    Deque<IdleConnection> idleConnections = idle.get(key);
    long now = clock.nowMs();
    while (maxIdleMs > 0 && idleConnections != null && !idleConnections.isEmpty()) {
      IdleConnection newest = idleConnections.pop();
      if (newest.connection().isReusable() && now - newest.idleSinceMs() <= maxIdleMs) {
        return newest.connection();
      }
      newest.connection().close();
    }
    return OutboundConnection.open(
        reactor, Addresses.parse(address), CONNECT_TIMEOUT_MS, budget, lost -> remove(key, lost));
  }

  /**
   * Opens a connection to an endpoint without sending anything, and keeps it for later requests.
   *
   * @param callback receives whether the connection was opened
   */
  void probe(ListedEndpoint endpoint, Consumer<Boolean> callback) {
    OutboundConnection connection =
        OutboundConnection.open(
            reactor,
            Addresses.parse(endpoint.address()),
            CONNECT_TIMEOUT_MS,
            budget,
            lost -> {
              remove(endpoint.id(), lost);
              if (!lost.wasOpened()) {
                callback.accept(false);
              }
            });
    connection.whenOpened(
        () -> {
          release(endpoint.id(), connection);
          callback.accept(true);
        });
  }

  /** Returns a connection to the pool after a complete response, or closes it if not reusable. */
  void release(ListedEndpoint endpoint, OutboundConnection connection) {
    release(endpoint.id(), connection);
  }

  /**
   * Returns a connection to the pool, or closes it if not reusable.
   *
   * @param key id of the endpoint, or peer address of the VM
   */
  void release(String key, OutboundConnection connection) {
    if (connection.isReusable()) {
      idle.computeIfAbsent(key, name -> new ArrayDeque<>())
          .push(new IdleConnection(connection, clock.nowMs()));
    } else {
      connection.close();
    }
  }

  /** Closes the connections that have been idle for too long. */
  void closeExpired() {
    long now = clock.nowMs();
    for (Deque<IdleConnection> idleConnections : idle.values()) {
      Iterator<IdleConnection> iterator = idleConnections.iterator();
      while (iterator.hasNext()) {
        IdleConnection entry = iterator.next();
        if (now - entry.idleSinceMs() > maxIdleMs(entry.connection())) {
          iterator.remove();
          entry.connection().close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private static long maxIdleMs(OutboundConnection connection) {
    long announcedMs = connection.keepAliveMs().orElse(MAX_IDLE_MS);
    return Math.min(MAX_IDLE_MS, Math.max(0, announcedMs - KEEP_ALIVE_MARGIN_MS));
  }

  private void remove(String key, OutboundConnection closed) {
    Deque<IdleConnection> idleConnections = idle.get(key);
    if (idleConnections != null) {
      idleConnections.removeIf(entry -> entry.connection() == closed);
    }
  }
}
