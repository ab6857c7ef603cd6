package org.zinniaspan.standins.choice;

import java.util.PriorityQueue;
import org.zinniaspan.clock.Clock;

/** Virtual time and what is due in it; events of one time run in the order they were added. */
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

  double exactNowMs() {
    return nowMs;
  }

  void schedule(double delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), nextOrder++, action));
  }

  void scheduleEvery(double periodMs, Runnable action) {
    schedule(
        periodMs,
        () -> {
          action.run();
          scheduleEvery(periodMs, action);
        });
  }

  void runUntil(double endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
  }
}
