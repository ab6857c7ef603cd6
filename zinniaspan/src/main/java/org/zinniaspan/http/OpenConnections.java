package org.zinniaspan.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the open connections of a listener.
 *
 * <p>State is guarded by this object's lock.
 */
final class OpenConnections {

  private final Set<CallerConnection> connections = new HashSet<>();
  private volatile boolean closing;

  synchronized void add(CallerConnection connection) {
    connections.add(connection);
  }

  synchronized void remove(CallerConnection connection) {
    connections.remove(connection);
    notifyAll();
  }

  /** Returns whether the listener is closing, so that idle connections must be closed. */
  boolean isClosing() {
    return closing;
  }

  /**
   * Marks the listener as closing, on which idle connections close, and waits until no connection
   * is open or the timeout in milliseconds has passed.
   */
  synchronized void closeIdleAndAwait(long timeoutMs) throws InterruptedException {
    closing = true;
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    long remainingMs = timeoutMs;
    while (!connections.isEmpty() && remainingMs > 0) {
      wait(remainingMs);
      remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }
}
