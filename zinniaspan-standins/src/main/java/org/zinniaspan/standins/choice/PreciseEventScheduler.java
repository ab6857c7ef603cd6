package org.zinniaspan.standins.choice;

import java.util.PriorityQueue;
import org.zinniaspan.clock.Clock;

/**
 * Event scheduler in virtual time with fractions of a millisecond.
 *
 * <p>Events that are due at the same time run in the order in which they were scheduled.
 */
final class PreciseEventScheduler implements Clock {

  private record Event(double atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowMs;
  private long nextOrder;

  @Override
  public long nowMs() {
    return (long) nowMs;
  }

  /** Returns the virtual time with fractions of a millisecond. */
  double exactNowMs() {
    return nowMs;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  void schedule(double delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), nextOrder++, action));
  }

  /** Schedules an action periodically, first after one period. */
  void scheduleEvery(double periodMs, Runnable action) {
    schedule(
        periodMs,
        () -> {
          action.run();
          scheduleEvery(periodMs, action);
        });
  }

  /** Runs all events that are due up to the given time. */
  void runUntil(double endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
  }
}
