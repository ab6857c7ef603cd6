package org.zinniaspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Serves a connection accepted by {@link HttpListener}, and lets the thread that handles its
 * request check whether the caller has disconnected.
 */
final class CallerConnection extends DefaultBHttpServerConnection {

  private static final ThreadLocal<CallerConnection> CURRENT = new ThreadLocal<>();

  private static final int POLL_INTERVAL_MS = 500;
  private static final Timeout POLL_TIMEOUT = Timeout.ofMilliseconds(POLL_INTERVAL_MS);

  private final OpenConnections openConnections;

  CallerConnection(Http1Config config, OpenConnections openConnections) {
    super(
        "http",
        config,
        null,
        null,
        null,
        null,
        UnendingInput.parsers(
            new DefaultHttpRequestParserFactory(
                StrictLineParser.INSTANCE, RequestTargets.CLASSIC_FACTORY)),
        null);
    this.openConnections = openConnections;
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream input) {
    return super.createContentInputStream(length, buffer, UnendingInput.forBody(length, input));
  }

  /**
   * Waits for the first byte of a request.
   *
   * <p>Closes the connection if the caller closes it first, if the read timeout passes, or if the
   * listener is closing.
   *
   * @throws ConnectionClosedException if the connection was closed
   */
  private void awaitRequest() throws IOException {
    for (int waitedMs = 0; !isDataAvailable(POLL_TIMEOUT); waitedMs += POLL_INTERVAL_MS) {
      boolean shouldClose = waitedMs >= HttpListener.READ_TIMEOUT_MS || openConnections.isClosing();
      if (isStale() || (shouldClose && !isDataAvailable(POLL_TIMEOUT))) {
        closeGracefully();
        throw new ConnectionClosedException("connection closed before a request arrived");
      }
    }
  }

  /**
   * Shuts down the output, then reads until the caller closes its side or a read times out, so that
   * the connection isn't reset.
   */
  private void closeGracefully() throws IOException {
    Socket socket = getSocketHolder().getBaseSocket();
    socket.setSoTimeout(POLL_INTERVAL_MS);
    socket.shutdownOutput();
    try {
      while (socket.getInputStream().read() >= 0) {
        // The output is shut down: a request that arrives now cannot be answered.
      }
    } catch (SocketTimeoutException e) {
      // The caller keeps its side open; the connection is closed regardless.
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

  /** Returns whether the caller of the request handled by this thread has disconnected. */
  static boolean isCallerDisconnected() {
    CallerConnection connection = CURRENT.get();
    return connection != null && connection.isDisconnected();
  }

  /**
   * Returns an action that immediately closes the connection of the request handled by this thread;
   * it does nothing if the thread handles no request.
   */
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
