package org.zinniaspan.standins.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.zinniaspan.clock.Clock;

/** Virtual time: runs actions in order of the time for which they are planned. */
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

  void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextOrder++, action));
  }

  void scheduleEvery(long periodMs, Runnable action) {
    schedule(
        periodMs,
        () -> {
          action.run();
          scheduleEvery(periodMs, action);
        });
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.timeMs();
      event.action().run();
    }
    nowMs = endMs;
  }
}
