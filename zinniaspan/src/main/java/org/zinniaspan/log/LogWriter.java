package org.zinniaspan.log;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes log lines to the console on a background thread, so that a stalled reader of the output
 * blocks no other thread.
 *
 * <p>Lines that arrive within {@value #BATCH_WINDOW_MS} ms are written as one batch. When {@value
 * #MAX_BUFFERED_LINES} lines are queued, further lines are dropped as {@link LineBuffer} describes,
 * and counted.
 */
final class LogWriter {

  private static final String LOGGER_NAME = "zinniaspan";

  /** Capacity of the buffer in lines; bounds the memory that queued lines use. */
  private static final int MAX_BUFFERED_LINES = 2_000;

  /** Time for which lines are collected into a batch, in milliseconds; saves system calls. */
  private static final long BATCH_WINDOW_MS = 100;

  /** Interval at which a flush checks whether all lines are written, in milliseconds. */
  private static final long FLUSH_POLL_INTERVAL_MS = 5;

  private final LineBuffer<Log4jLogEvent> buffer = new LineBuffer<>(MAX_BUFFERED_LINES);
  private final ConsoleAppender appender =
      ConsoleAppender.newBuilder()
          .setName("console")
          .setDirect(true)
          .setImmediateFlush(false)
          .setLayout(new JsonLinesLayout())
          .build();
  private volatile boolean writing;
  private volatile boolean flushing;

  /** Creates a writer and starts its thread. */
  LogWriter() {
    appender.start();
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues a line without waiting for it to be written. */
  void write(Level level, Message message, long timeMs) {
    Log4jLogEvent event = newLogEvent(level, message, timeMs);
    if (buffer.add(event, level.isMoreSpecificThan(Level.WARN))) {
      synchronized (this) {
        notifyAll();
      }
    }
  }

  /** Returns the number of lines dropped since the process started. */
  long droppedLines() {
    return buffer.totalDropped();
  }

  /** Waits until all queued lines are written; returns false after the timeout in milliseconds. */
  boolean flush(long timeoutMs) {
    flushing = true;
    synchronized (this) {
      notifyAll();
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    try {
      while (!buffer.isEmpty() || writing) {
        if (System.nanoTime() > deadlineNanos) {
          return false;
        }
        Thread.sleep(FLUSH_POLL_INTERVAL_MS);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      flushing = false;
    }
  }

  private void run() {
    try {
      while (true) {
        awaitBatch();
        writing = true;
        writeBatch(buffer.drain());
        writing = false;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void awaitBatch() throws InterruptedException {
    while (buffer.isEmpty()) {
      wait();
    }
    if (!flushing) {
      wait(BATCH_WINDOW_MS);
    }
  }

  private void writeBatch(List<Log4jLogEvent> events) {
    LineBuffer.DroppedCounts dropped = buffer.resetDroppedCounts();
    if (dropped.routine() + dropped.failures() > 0) {
      appender.append(
          newLogEvent(Level.WARN, droppedLinesMessage(dropped), System.currentTimeMillis()));
    }
    int remaining = events.size();
    for (Log4jLogEvent event : events) {
      remaining--;
      event.setEndOfBatch(remaining == 0);
      appender.append(event);
    }
  }

  private static Message droppedLinesMessage(LineBuffer.DroppedCounts dropped) {
    return new StringMapMessage()
        .with("event", "log-lines-dropped")
        .with("routine", String.valueOf(dropped.routine()))
        .with("failures", String.valueOf(dropped.failures()));
  }

  private static Log4jLogEvent newLogEvent(Level level, Message message, long timeMs) {
    return Log4jLogEvent.newBuilder()
        .setLoggerName(LOGGER_NAME)
        .setLevel(level)
        .setMessage(message)
        .setThreadName(Thread.currentThread().getName())
        .setTimeMillis(timeMs)
        .build();
  }
}
