package org.zinniaspan.transport;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.zinniaspan.log.EventLog;

/**
 * A TCP connection with its receive and send buffers.
 *
 * <p>All callbacks and all methods run under the reactor's lock.
 */
abstract class Connection implements IOEventHandler {

  /** Unparsed bytes at which reading from the connection pauses until some are parsed. */
  private static final int MAX_UNPARSED_BYTES = 64 * 1024;

  private final Reactor reactor;
  private final ReentrantLock lock;
  protected final ReceiveBuffer received;
  protected final SendBuffer unsent = new SendBuffer();
  private IOSession session;
  private Optional<Future<?>> connectTimer = Optional.empty();
  private boolean inputEnded;
  private boolean closed;

  Connection(Reactor reactor, int maxLineBytes, int maxHeadBytes) {
    this.reactor = reactor;
    this.lock = reactor.lock();
    this.received = new ReceiveBuffer(maxLineBytes, maxHeadBytes);
  }

  /** Called once when the connection is open. */
  protected abstract void onOpen() throws IOException;

  /** Limits the bytes that the operating system takes from this connection and has not sent. */
  protected final void setSendBufferSize(int bytes) throws IOException {
    if (session.channel() instanceof SocketChannel channel) {
      channel.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
    }
  }

  /** Called when bytes have arrived or the remote side has ended its output. */
  protected abstract void onReceived() throws IOException;

  /** Returns the unparsed bytes at which reading pauses until some are parsed. */
  protected int maxUnparsedBytes() {
    return MAX_UNPARSED_BYTES;
  }

  /** Called when the size of a buffer may have changed. */
  protected void onBuffersChanged() {}

  /** Called when bytes have been written. */
  protected void onWritten() {}

  /** Called when the send buffer has been written completely. */
  protected void onFlushed() {}

  /**
   * Called once when the connection ends other than by {@link #close} or {@link #reset}.
   *
   * @param cause the error; empty after an orderly end
   */
  protected abstract void onDisconnect(Optional<Exception> cause);

  /** Called once when the connection has ended, in whatever way. */
  protected void onClosed() {}

  /** Returns the reactor that runs the connection. */
  protected final Reactor reactor() {
    return reactor;
  }

  /** Returns whether the remote side has ended its output. */
  protected final boolean inputEnded() {
    return inputEnded;
  }

  /** Returns whether the connection has been opened and not closed since. */
  public final boolean isOpen() {
    return session != null && !closed;
  }

  /**
   * Returns a channel for the body decoders that never supplies bytes, so that they read only from
   * the receive buffer.
   */
  protected final ReadableByteChannel channel() {
    return new ReadableByteChannel() {
      @Override
      public int read(ByteBuffer target) {
        return inputEnded ? -1 : 0;
      }

      @Override
      public boolean isOpen() {
        return !inputEnded;
      }

      @Override
      public void close() {
        // Decoders must not close the connection.
      }
    };
  }

  @Override
  public final void connected(IOSession opened) {
    runLocked(
        () -> {
          session = opened;
          connectTimer.ifPresent(timer -> timer.cancel(false));
          if (closed) {
            // Closed or reset while it was being opened: nothing may be sent any more.
            opened.close(CloseMode.IMMEDIATE);
          } else {
            onOpen();
          }
        });
  }

  @Override
  public final void inputReady(IOSession ready, ByteBuffer source) {
    runLocked(
        () -> {
          int count = 0;
          while (!closed && !inputEnded && received.length() < maxUnparsedBytes()) {
            count = received.fill(session);
            if (count <= 0) {
              break;
            }
          }
          inputEnded = inputEnded || count < 0;
          onReceived();
          if (!closed && (inputEnded || received.length() >= maxUnparsedBytes())) {
            session.clearEvent(EventMask.READ);
          }
          received.trim();
          onBuffersChanged();
        });
  }

  /** Resumes reading once unparsed bytes are below the limit again. */
  protected final void resumeReading() {
    if (isOpen()
        && !inputEnded
        && received.length() < maxUnparsedBytes()
        && (session.getEventMask() & EventMask.READ) == 0) {
      session.setEvent(EventMask.READ);
    }
  }

  @Override
  public final void outputReady(IOSession ready) {
    runLocked(this::flush);
  }

  /** Writes as many bytes as the socket takes now, and the rest when it is writable again. */
  protected final void flush() throws IOException {
    if (!isOpen()) {
      return;
    }
    while (unsent.hasData() && unsent.flush(session) > 0) {
      onWritten();
    }
    boolean awaitingWrite = (session.getEventMask() & EventMask.WRITE) != 0;
    if (unsent.hasData() && !awaitingWrite) {
      session.setEvent(EventMask.WRITE);
    } else if (!unsent.hasData()) {
      unsent.trim();
      if (awaitingWrite) {
        session.clearEvent(EventMask.WRITE);
      }
      onFlushed();
    }
    onBuffersChanged();
  }

  /** Flushes the send buffer; on an error, resets the connection and reports the error. */
  protected final void flushOrFail() {
    try {
      flush();
    } catch (IOException e) {
      terminate(Optional.of(e), CloseMode.IMMEDIATE);
    }
  }

  /** Closes the connection in an orderly way, without a further callback. */
  public final void close() {
    end(CloseMode.GRACEFUL);
  }

  /** Resets the connection, without a further callback. */
  public final void reset() {
    end(CloseMode.IMMEDIATE);
  }

  private void terminate(Optional<Exception> cause, CloseMode mode) {
    if (end(mode)) {
      onDisconnect(cause);
    }
  }

  /** Closes the connection; returns false if it was closed before. */
  private boolean end(CloseMode mode) {
    if (closed) {
      return false;
    }
    closed = true;
    if (session != null) {
      session.close(mode);
    }
    // The event loop refers to the connection until it has served all others that are ready.
    received.clear();
    onClosed();
    return true;
  }

  /** Sets the timer to cancel once the connection is open. */
  final void setConnectTimer(Future<?> timer) {
    connectTimer = Optional.of(timer);
  }

  /** Closes the connection and reports the timeout, unless the connection is open by now. */
  final void onConnectTimeout(long timeoutMs) {
    runLocked(
        () -> {
          if (session == null) {
            terminate(
                Optional.of(
                    new SocketTimeoutException("not connected within " + timeoutMs + " ms")),
                CloseMode.IMMEDIATE);
          }
        });
  }

  /** Closes the connection because it could not be opened, and reports the error. */
  final void onConnectFailed(Exception cause) {
    runLocked(() -> terminate(Optional.of(cause), CloseMode.IMMEDIATE));
  }

  /** Closes the connection in an orderly way and calls {@link #onDisconnect}. */
  protected final void closeAndNotify() {
    terminate(Optional.empty(), CloseMode.GRACEFUL);
  }

  /** Resets the connection because of an error, and reports the error. */
  protected final void fail(Exception cause) {
    terminate(Optional.of(cause), CloseMode.IMMEDIATE);
  }

  @Override
  public final void timeout(IOSession idle, Timeout timeout) {
    // Sessions have no timeout; requests have their own.
  }

  @Override
  public final void exception(IOSession failed, Exception cause) {
    runLocked(() -> terminate(Optional.of(cause), CloseMode.IMMEDIATE));
  }

  @Override
  public final void disconnected(IOSession disconnected) {
    runLocked(() -> terminate(Optional.empty(), CloseMode.IMMEDIATE));
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private void runLocked(IoTask task) {
    lock.lock();
    try {
      task.run();
      reactor.enforceMemory();
    } catch (IOException e) {
      terminate(Optional.of(e), CloseMode.IMMEDIATE);
    } catch (RuntimeException e) {
      EventLog.event("connection-fault").with("connection", this).with("error", describe(e)).warn();
      terminate(Optional.of(e), CloseMode.IMMEDIATE);
    } finally {
      lock.unlock();
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] frames = e.getStackTrace();
    return frames.length == 0 ? e.toString() : e + " at " + frames[0];
  }
}
