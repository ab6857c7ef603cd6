package org.zinniaspan.log;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes log lines to the console on a background thread, so that a stalled reader of the output
 * blocks no other thread.
 *
 * <p>Lines that arrive within {@value #BATCH_WINDOW_MS} ms are written as one batch. When {@value
 * #MAX_BUFFERED_LINES} lines are queued, further lines are dropped as {@link LineBuffer} describes,
 * and counted. The console is written directly: the appenders of Log4j would take a tenth of the
 * processor time of a start to be set up, without a configuration to read.
 */
final class LogWriter {

  /** Capacity of the buffer in lines; bounds the memory that queued lines use. */
  private static final int MAX_BUFFERED_LINES = 2_000;

  /** Size of the buffer before the console, in bytes; a batch is flushed at its end. */
  private static final int BUFFER_BYTES = 8 * 1024;

  /** Time for which lines are collected into a batch, in milliseconds; saves system calls. */
  private static final long BATCH_WINDOW_MS = 100;

  /** Interval at which a flush checks whether all lines are written, in milliseconds. */
  private static final long FLUSH_POLL_INTERVAL_MS = 5;

  private final LineBuffer<LogLine> buffer = new LineBuffer<>(MAX_BUFFERED_LINES);
  private final JsonLinesLayout layout = new JsonLinesLayout();
  private final OutputStream console =
      new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
  private volatile boolean writing;
  private volatile boolean flushing;

  /** Creates a writer and starts its thread. */
  LogWriter() {
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues a line without waiting for it to be written. */
  void write(Level level, Message message, long timeMs) {
    LogLine line = LogLine.of(level, message, timeMs);
    if (buffer.add(line, level.isMoreSpecificThan(Level.WARN))) {
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

  private void writeBatch(List<LogLine> lines) {
    LineBuffer.DroppedCounts dropped = buffer.resetDroppedCounts();
    if (dropped.routine() + dropped.failures() > 0) {
      print(LogLine.of(Level.WARN, droppedLinesMessage(dropped), System.currentTimeMillis()));
    }
    lines.forEach(this::print);
    try {
      console.flush();
    } catch (IOException e) {
      // Nobody reads the log any more, and there is nothing else to tell it.
    }
  }

  private void print(LogLine line) {
    try {
      console.write(layout.format(line).getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // As above.
    }
  }

  private static Message droppedLinesMessage(LineBuffer.DroppedCounts dropped) {
    return new StringMapMessage()
        .with("event", "log-lines-dropped")
        .with("routine", String.valueOf(dropped.routine()))
        .with("failures", String.valueOf(dropped.failures()));
  }
}
