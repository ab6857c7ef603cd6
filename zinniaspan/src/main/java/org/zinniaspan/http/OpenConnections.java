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

  private final Set<CallerConnection> open = new HashSet<>();
  private volatile boolean closing;

  synchronized void add(CallerConnection connection) {
    open.add(connection);
  }

  synchronized void remove(CallerConnection connection) {
    open.remove(connection);
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
    while (!open.isEmpty() && remainingMs > 0) {
      wait(remainingMs);
      remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }
}
