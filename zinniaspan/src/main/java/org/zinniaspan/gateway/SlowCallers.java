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

  private static final long IDLE = Long.MAX_VALUE;

  private final Clock clock;
  private final Set<Guarded> open = ConcurrentHashMap.newKeySet();

  /** Creates a guard that watches nothing yet. */
  public SlowCallers(Clock clock) {
    this.clock = clock;
  }

  /** Watches the writes of this thread to its caller until the result is closed. */
  Guarded guard(OutputStream out) {
    return guard(out, HttpListener.callerConnectionCloser());
  }

  Guarded guard(OutputStream out, Runnable closeConnection) {
    Guarded guarded = new Guarded(out, closeConnection);
    open.add(guarded);
    return guarded;
  }

  @Override
  public void tick() {
    long oldestMs = clock.nowMs() - WRITE_TIMEOUT_MS;
    for (Guarded guarded : open) {
      if (guarded.writingSinceMs < oldestMs) {
        EventLog.event("slow-caller").with("timeoutMs", WRITE_TIMEOUT_MS).info();
        guarded.closeConnection.run();
      }
    }
  }

  /** A stream to a caller; closing it ends the watch and leaves the stream below open. */
  final class Guarded extends FilterOutputStream {

    private final Runnable closeConnection;
    private volatile long writingSinceMs = IDLE;

    private Guarded(OutputStream out, Runnable closeConnection) {
      super(out);
      this.closeConnection = closeConnection;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      writingSinceMs = clock.nowMs();
      try {
        out.write(bytes, offset, length);
      } finally {
        writingSinceMs = IDLE;
      }
    }

    @Override
    public void flush() throws IOException {
      writingSinceMs = clock.nowMs();
      try {
        out.flush();
      } finally {
        writingSinceMs = IDLE;
      }
    }

    @Override
    public void close() {
      open.remove(this);
    }
  }
}
