package org.zinniaspan.log;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes log lines on a thread of its own, so that a reader of the log that stops holds up nothing
 * else.
 *
 * <p>Lines that come within {@value #BATCH_WINDOW_MS} ms are written together; lines beyond {@value
 * #MAX_BUFFERED_LINES} that wait are dropped and counted.
 */
final class LogWriter {

  private static final String LOGGER_NAME = "zinniaspan";

  /** Lines that may wait; a limit on memory, chosen without a measurement. */
  private static final int MAX_BUFFERED_LINES = 2_000;

  /** Time in which lines are gathered, in milliseconds, which saves system calls. */
  private static final long BATCH_WINDOW_MS = 100;

  /** Time between two looks at whether all is written, in milliseconds. */
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

  /** Takes a line; never waits. */
  void write(Level level, Message message, long timeMs) {
    Log4jLogEvent event = newLogEvent(level, message, timeMs);
    if (buffer.add(event, level.isMoreSpecificThan(Level.WARN))) {
      synchronized (this) {
        notifyAll();
      }
    }
  }

  /** Returns the number of lines that were dropped since the start. */
  long droppedLines() {
    return buffer.totalDropped();
  }

  /** Waits until all lines are written; returns false if they are not in time. */
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
