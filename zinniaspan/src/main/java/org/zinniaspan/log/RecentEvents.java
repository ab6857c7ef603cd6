package org.zinniaspan.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Keeps the newest log lines in memory, so that an operator can ask why a request went where it
 * did.
 *
 * <p>State is guarded by this object's lock.
 */
public final class RecentEvents {

  private static final List<String> ID_FIELDS = List.of("requestId", "attemptId", "key");

  private final int capacity;
  private final Deque<Map<String, String>> events = new ArrayDeque<>();

  /** Creates an empty store for a number of lines. */
  public RecentEvents(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a line, and forgets the oldest one if the store is full. */
  public synchronized void add(Map<String, String> event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /** Returns the lines, oldest first, whose request, attempt or key starts with the id. */
  public synchronized List<Map<String, String>> findByIdPrefix(String idPrefix) {
    return events.stream().filter(line -> hasIdPrefix(line, idPrefix)).toList();
  }

  private static boolean hasIdPrefix(Map<String, String> event, String idPrefix) {
    return ID_FIELDS.stream().anyMatch(field -> event.getOrDefault(field, "").startsWith(idPrefix));
  }
}
