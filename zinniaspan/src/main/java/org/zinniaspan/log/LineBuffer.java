package org.zinniaspan.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Buffers a bounded number of log lines and drops routine lines before failures.
 *
 * <p>Example: {@code buffer.add(line, false); List<T> batch = buffer.drain();}. When the buffer is
 * full, a new line replaces the oldest routine line. If the buffer holds failures only, a new
 * routine line is dropped and a new failure replaces the oldest failure. State is guarded by this
 * object's lock.
 */
final class LineBuffer<T> {

  /** Numbers of lines dropped since the last {@link #resetDroppedCounts}. */
  record DroppedCounts(long routine, long failures) {}

  private record Entry<T>(long sequence, T line) {}

  private final int capacity;
  private final Deque<Entry<T>> routine = new ArrayDeque<>();
  private final Deque<Entry<T>> failures = new ArrayDeque<>();
  private long nextSequence;
  private long routineDropped;
  private long failuresDropped;
  private long totalDropped;

  /** Creates an empty buffer that holds at most {@code capacity} lines. */
  LineBuffer(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a line, or drops it; returns whether the buffer was empty before. */
  synchronized boolean add(T line, boolean isFailure) {
    boolean wasEmpty = size() == 0;
    if (size() == capacity && !tryEvict(isFailure)) {
      return wasEmpty;
    }
    (isFailure ? failures : routine).addLast(new Entry<>(nextSequence++, line));
    return wasEmpty;
  }

  private boolean tryEvict(boolean forFailure) {
    totalDropped++;
    if (routine.pollFirst() != null) {
      routineDropped++;
      return true;
    }
    if (forFailure) {
      failures.removeFirst();
      failuresDropped++;
      return true;
    }
    routineDropped++;
    return false;
  }

  private int size() {
    return routine.size() + failures.size();
  }

  /** Returns whether the buffer holds no line. */
  synchronized boolean isEmpty() {
    return size() == 0;
  }

  /** Removes and returns all lines, oldest first. */
  synchronized List<T> drain() {
    List<T> lines = new ArrayList<>(size());
    while (size() > 0) {
      lines.add(queueWithOldest().removeFirst().line());
    }
    return lines;
  }

  private Deque<Entry<T>> queueWithOldest() {
    if (routine.isEmpty()) {
      return failures;
    }
    boolean routineFirst =
        failures.isEmpty() || routine.getFirst().sequence() < failures.getFirst().sequence();
    return routineFirst ? routine : failures;
  }

  /** Returns the number of lines dropped since the buffer was created. */
  synchronized long totalDropped() {
    return totalDropped;
  }

  /** Returns the numbers of dropped lines and resets them to zero. */
  synchronized DroppedCounts resetDroppedCounts() {
    DroppedCounts dropped = new DroppedCounts(routineDropped, failuresDropped);
    routineDropped = 0;
    failuresDropped = 0;
    return dropped;
  }
}
