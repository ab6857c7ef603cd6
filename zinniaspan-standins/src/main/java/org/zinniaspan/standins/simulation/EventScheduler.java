package org.zinniaspan.standins.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.zinniaspan.clock.Clock;

/**
 * Event scheduler in virtual time with whole milliseconds.
 *
 * <p>Events that are due at the same time run in the order in which they were scheduled.
 */
final class EventScheduler implements Clock {

  private record Event(long timeMs, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::order));
  private long nowMs = 1_000_000;
  private long nextOrder;

  @Override
  public long nowMs() {
    return nowMs;
  }

  /** Schedules an action after a delay. */
  void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextOrder++, action));
  }

  /** Schedules an action periodically, first after one period. */
  void scheduleEvery(long periodMs, Runnable action) {
    schedule(
        periodMs,
        () -> {
          action.run();
          scheduleEvery(periodMs, action);
        });
  }

  /** Runs all events that are due up to the given time, and sets the time to it. */
  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.timeMs();
      event.action().run();
    }
    nowMs = endMs;
  }
}
