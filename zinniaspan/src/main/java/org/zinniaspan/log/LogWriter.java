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
 * <p>Lines that come within {@value #GATHER_MS} ms are written together; lines beyond {@value
 * #MOST_LINES} that wait are dropped and counted.
 */
final class LogWriter {

  private static final String LOGGER = "zinniaspan";

  /** Lines that may wait; a limit on memory, chosen without a measurement. */
  private static final int MOST_LINES = 2_000;

  /** Time in which lines are gathered, in milliseconds, which saves system calls. */
  private static final long GATHER_MS = 100;

  /** Time between two looks at whether all is written, in milliseconds. */
  private static final long FLUSH_POLL_MS = 5;

  private final LineBuffer<Log4jLogEvent> buffer = new LineBuffer<>(MOST_LINES);
  private final ConsoleAppender appender =
      ConsoleAppender.newBuilder()
          .setName("console")
          .setDirect(true)
          .setImmediateFlush(false)
          .setLayout(new JsonLinesLayout())
          .build();
  private volatile boolean writing;
  private volatile boolean hurry;

  /** Creates a writer and starts its thread. */
  LogWriter() {
    appender.start();
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Takes a line; never waits. */
  void write(Level level, Message message, long timeMs) {
    Log4jLogEvent event = event(level, message, timeMs);
    if (buffer.add(event, level.isMoreSpecificThan(Level.WARN))) {
      synchronized (this) {
        notifyAll();
      }
    }
  }

  /** Returns the number of lines that were dropped since the start. */
  long dropped() {
    return buffer.allDropped();
  }

  /** Waits until all lines are written; returns false if they are not in time. */
  boolean flush(long timeoutMs) {
    hurry = true;
    synchronized (this) {
      notifyAll();
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    try {
      while (!buffer.isEmpty() || writing) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(FLUSH_POLL_MS);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      hurry = false;
    }
  }

  private void run() {
    try {
      while (true) {
        gather();
        writing = true;
        writeAll(buffer.drain());
        writing = false;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void gather() throws InterruptedException {
    while (buffer.isEmpty()) {
      wait();
    }
    if (!hurry) {
      wait(GATHER_MS);
    }
  }

  private void writeAll(List<Log4jLogEvent> events) {
    LineBuffer.Dropped lost = buffer.takeDropped();
    if (lost.routine() + lost.failures() > 0) {
      appender.append(event(Level.WARN, message(lost), System.currentTimeMillis()));
    }
    int left = events.size();
    for (Log4jLogEvent event : events) {
      left--;
      event.setEndOfBatch(left == 0);
      appender.append(event);
    }
  }

  private static Message message(LineBuffer.Dropped lost) {
    return new StringMapMessage()
        .with("event", "log-lines-dropped")
        .with("routine", String.valueOf(lost.routine()))
        .with("failures", String.valueOf(lost.failures()));
  }

  private static Log4jLogEvent event(Level level, Message message, long timeMs) {
    return Log4jLogEvent.newBuilder()
        .setLoggerName(LOGGER)
        .setLevel(level)
        .setMessage(message)
        .setThreadName(Thread.currentThread().getName())
        .setTimeMillis(timeMs)
        .build();
  }
}
