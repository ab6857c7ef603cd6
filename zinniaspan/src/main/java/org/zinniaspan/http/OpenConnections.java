package org.zinniaspan.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a listener that have not ended.
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

  /** Returns whether idle connections are to end. */
  boolean isClosing() {
    return closing;
  }

  /** Lets idle connections end, and waits at most the given time until none is open. */
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
