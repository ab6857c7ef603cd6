package org.zinniaspan.gateway;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.log.EventLog;

/**
 * Closes the connections of callers that take no byte for too long.
 *
 * <p>A blocked write has no timeout of its own, and would hold a thread and a slot.
 */
public final class SlowCallers implements Ticking {

  /** Longest time that one write may take, in milliseconds. */
  public static final long WRITE_TIMEOUT_MS = 10_000;

  private static final long NOT_WRITING = Long.MAX_VALUE;

  private final Clock clock;
  private final Set<TimedOutputStream> monitored = ConcurrentHashMap.newKeySet();

  /** Creates a guard that watches nothing yet. */
  public SlowCallers(Clock clock) {
    this.clock = clock;
  }

  /** Watches the writes of this thread to its caller until the result is closed. */
  TimedOutputStream monitor(OutputStream out) {
    return monitor(out, HttpListener.callerConnectionCloser());
  }

  TimedOutputStream monitor(OutputStream out, Runnable closeConnection) {
    TimedOutputStream timed = new TimedOutputStream(out, closeConnection);
    monitored.add(timed);
    return timed;
  }

  @Override
  public void tick() {
    long minStartMs = clock.nowMs() - WRITE_TIMEOUT_MS;
    for (TimedOutputStream timed : monitored) {
      if (timed.writeStartMs < minStartMs) {
        EventLog.event("slow-caller").with("timeoutMs", WRITE_TIMEOUT_MS).info();
        timed.closeConnection.run();
      }
    }
  }

  /** A stream to a caller; closing it ends the watch and leaves the stream below open. */
  final class TimedOutputStream extends FilterOutputStream {

    private final Runnable closeConnection;
    private volatile long writeStartMs = NOT_WRITING;

    private TimedOutputStream(OutputStream out, Runnable closeConnection) {
      super(out);
      this.closeConnection = closeConnection;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      writeStartMs = clock.nowMs();
      try {
        out.write(bytes, offset, length);
      } finally {
        writeStartMs = NOT_WRITING;
      }
    }

    @Override
    public void flush() throws IOException {
      writeStartMs = clock.nowMs();
      try {
        out.flush();
      } finally {
        writeStartMs = NOT_WRITING;
      }
    }

    @Override
    public void close() {
      monitored.remove(this);
    }
  }
}
