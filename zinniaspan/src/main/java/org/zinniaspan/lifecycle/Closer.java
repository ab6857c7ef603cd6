package org.zinniaspan.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;
import org.zinniaspan.log.EventLog;

/**
 * Collects resources and closes them in reverse order of their addition.
 *
 * <p>Example: {@code Server server = closer.add(new Server());}
 */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Adds a resource to close, and returns it. */
  public synchronized <T extends AutoCloseable> T add(T resource) {
    resources.push(resource);
    return resource;
  }

  /** Closes all resources; a failure is logged, and the remaining resources are closed too. */
  @Override
  public synchronized void close() {
    while (!resources.isEmpty()) {
      closeOne(resources.pop());
    }
  }

  private static void closeOne(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      EventLog.event("close-failed").with("error", e).warn();
    }
  }
}
