package org.zinniaspan.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** A caller's connection that its handler can ask whether the caller has left. */
final class CallerConnection extends DefaultBHttpServerConnection {

  private static final ThreadLocal<CallerConnection> CURRENT = new ThreadLocal<>();

  private static final int POLL_INTERVAL_MS = 500;
  private static final Timeout POLL_TIMEOUT = Timeout.ofMilliseconds(POLL_INTERVAL_MS);

  private final OpenConnections openConnections;

  CallerConnection(Http1Config config, OpenConnections openConnections) {
    super("http", config);
    this.openConnections = openConnections;
  }

  /** Waits for the first byte of a request, unless the listener closes before it comes. */
  private void awaitRequest() throws IOException {
    for (int waitedMs = 0; !isDataAvailable(POLL_TIMEOUT); waitedMs += POLL_INTERVAL_MS) {
      boolean shouldClose = waitedMs >= HttpListener.READ_TIMEOUT_MS || openConnections.isClosing();
      if (isStale() || (shouldClose && !isDataAvailable(POLL_TIMEOUT))) {
        closeGracefully();
        throw new ConnectionClosedException("no request came");
      }
    }
  }

  /** Sends the end of the stream and waits for the caller's, so that nothing is reset. */
  private void closeGracefully() throws IOException {
    Socket socket = getSocketHolder().getBaseSocket();
    socket.setSoTimeout(POLL_INTERVAL_MS);
    socket.shutdownOutput();
    try {
      while (socket.getInputStream().read() >= 0) {
        // What comes now cannot be answered any more.
      }
    } catch (SocketTimeoutException e) {
      // The caller keeps its side open; the connection ends all the same.
    }
    close();
  }

  @Override
  public void close() throws IOException {
    try {
      super.close();
    } finally {
      openConnections.remove(this);
    }
  }

  @Override
  public void close(CloseMode closeMode) {
    try {
      super.close(closeMode);
    } finally {
      openConnections.remove(this);
    }
  }

  /** Returns whether the caller of the request that this thread handles has left. */
  static boolean isCallerDisconnected() {
    CallerConnection connection = CURRENT.get();
    return connection != null && connection.isDisconnected();
  }

  /** Returns what closes the connection of the request that this thread handles, at once. */
  static Runnable callerConnectionCloser() {
    CallerConnection connection = CURRENT.get();
    return connection == null ? () -> {} : () -> connection.close(CloseMode.IMMEDIATE);
  }

  private boolean isDisconnected() {
    try {
      return isStale();
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
    awaitRequest();
    ClassicHttpRequest request = super.receiveRequestHeader();
    CURRENT.set(this);
    return request;
  }
}
