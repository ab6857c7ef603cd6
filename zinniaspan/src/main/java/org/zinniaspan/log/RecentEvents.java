package org.zinniaspan.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Keeps the most recent log events in memory, so that an operator can look up how a request was
 * routed and why.
 *
 * <p>State is guarded by this object's lock.
 */
public final class RecentEvents {

  private static final List<String> ID_FIELDS = List.of("requestId", "attemptId", "key");

  private final int capacity;
  private final Deque<Map<String, String>> events = new ArrayDeque<>();

  /** Creates an empty buffer that holds at most {@code capacity} events. */
  public RecentEvents(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an event, and removes the oldest one if the buffer is full. */
  public synchronized void add(Map<String, String> event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /**
   * Returns the events whose request id, attempt id or key starts with the prefix, oldest first.
   */
  public synchronized List<Map<String, String>> findByIdPrefix(String idPrefix) {
    return events.stream().filter(event -> hasIdPrefix(event, idPrefix)).toList();
  }

  private static boolean hasIdPrefix(Map<String, String> event, String idPrefix) {
    return ID_FIELDS.stream().anyMatch(field -> event.getOrDefault(field, "").startsWith(idPrefix));
  }
}
