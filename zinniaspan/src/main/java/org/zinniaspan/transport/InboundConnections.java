package org.zinniaspan.transport;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.zinniaspan.clock.Clock;

/**
 * The open connections of a listener, and what they hold beside bodies. Beyond its limits, it
 * closes those that hold most for longest without a request in progress: a crowd that opens
 * connections or stops halfway, from one address or many.
 *
 * <p>All methods are called under the reactor's lock.
 *
 * <p>Example: {@code new InboundConnections(2_730, 12 << 20, clock)} allows 2,730 connections with
 * 12 MiB in unfinished requests and unread responses.
 */
public final class InboundConnections {

  /** Part of the connections that stays free, so that new ones need not wait. */
  private static final int FREE_PART = 8;

  /** Part of the connections that is closed at once. */
  private static final int CLOSED_PART = 64;

  private volatile int maxConnections;
  private final long maxBytes;
  private final Clock clock;
  private final Set<InboundConnection> open = new HashSet<>();
  private long heldBytes;
  private long closedForCount;
  private long closedForMemory;

  /** Creates the limits of a listener that has no connections yet. */
  public InboundConnections(int maxConnections, long maxBytes, Clock clock) {
    this.maxConnections = maxConnections;
    this.maxBytes = maxBytes;
    this.clock = clock;
  }

  /** Creates a listener's connections without limits. */
  static InboundConnections unlimited(Clock clock) {
    return new InboundConnections(Integer.MAX_VALUE, Long.MAX_VALUE, clock);
  }

  /** Returns the largest number of open connections. */
  int maxConnections() {
    return maxConnections;
  }

  /** Returns the number of open connections. */
  public int size() {
    return open.size();
  }

  /** Returns the bytes that the connections hold beside bodies. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns how many connections were closed because too many were open. */
  public long closedForCount() {
    return closedForCount;
  }

  /** Returns how many connections were closed because they held too many bytes together. */
  public long closedForMemory() {
    return closedForMemory;
  }

  /** Adds an open connection; closes others if few more may be open. */
  void add(InboundConnection connection) {
    open.add(connection);
    if (open.size() > maxConnections - maxConnections / FREE_PART) {
      closeSome();
    }
  }

  /** Removes a connection that has been closed. */
  void remove(InboundConnection connection) {
    if (open.remove(connection)) {
      heldBytes -= connection.recordedBytes();
    }
  }

  /** Records that the bytes that a connection holds have changed. */
  void onChanged(InboundConnection connection, long addedBytes) {
    if (open.contains(connection)) {
      heldBytes += addedBytes;
    }
  }

  /**
   * Lowers the limit to three quarters of the connections that are open, as the process has no
   * descriptor left for others, and closes the rest.
   */
  void onDescriptorsExhausted() {
    int lowered = Math.max(1, open.size() - open.size() / 4);
    maxConnections = Math.min(maxConnections, lowered);
    close(open.size() - lowered);
  }

  /** Closes some of the connections, as too many are open. */
  void closeSome() {
    close(1 + open.size() / CLOSED_PART);
  }

  private void close(int count) {
    for (InboundConnection heaviest : heaviestFirst(InboundConnection::isClosable, count)) {
      closedForCount++;
      heaviest.closeForLimits();
    }
  }

  /** Closes connections until the others hold no more bytes than they may. */
  void enforceMemory() {
    if (heldBytes <= maxBytes) {
      return;
    }
    long target = maxBytes - maxBytes / FREE_PART;
    for (InboundConnection heaviest :
        heaviestFirst(c -> c.isClosable() && c.recordedBytes() > 0, Long.MAX_VALUE)) {
      if (heldBytes <= target) {
        return;
      }
      closedForMemory++;
      heaviest.closeForLimits();
    }
  }

  /** Returns the connection whose unfinished body takes most from a budget for longest. */
  Optional<InboundConnection> heaviestBody(BufferBudget budget) {
    return heaviestFirst(c -> c.isReadingBody(budget), 1).stream().findFirst();
  }

  /**
   * Returns connections, those first that hold most for longest; uses no class of this project that
   * may not be loaded yet, as there may be no descriptor left to load one.
   */
  private List<InboundConnection> heaviestFirst(Predicate<InboundConnection> filter, long count) {
    long now = clock.nowMs();
    return open.stream()
        .filter(filter)
        .map(connection -> Map.entry(connection.weight(now), connection))
        .sorted(Map.Entry.<Long, InboundConnection>comparingByKey().reversed())
        .limit(count)
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Enforces the timeouts of all connections. */
  void checkTimeouts() {
    long now = clock.nowMs();
    List.copyOf(open).forEach(connection -> connection.checkTimeout(now));
  }
}
