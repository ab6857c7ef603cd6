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
 * Enforces a write timeout: closes the connection of a caller that has stopped reading.
 *
 * <p>A blocking socket write has no timeout of its own, so a caller that stops reading would occupy
 * a thread and a slot indefinitely.
 */
public final class SlowCallers implements Ticking {

  /** Maximum duration of one write or flush, in milliseconds. */
  public static final long WRITE_TIMEOUT_MS = 10_000;

  private static final long NOT_WRITING = Long.MAX_VALUE;

  private final Clock clock;
  private final Set<TimedOutputStream> monitored = ConcurrentHashMap.newKeySet();

  /** Creates a monitor without streams. */
  public SlowCallers(Clock clock) {
    this.clock = clock;
  }

  /** Monitors this thread's writes to its caller until the returned stream is closed. */
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

  /**
   * An output stream that records when its current write or flush started.
   *
   * <p>Closing it ends the monitoring and leaves the underlying stream open.
   */
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
