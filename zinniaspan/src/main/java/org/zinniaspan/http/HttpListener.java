package org.zinniaspan.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.zinniaspan.log.EventLog;

/**
 * Serves HTTP/1.1 requests of one listening address with one handler.
 *
 * <p>Example: {@code HttpListener.start(Addresses.parse("127.0.0.1:8080"), handler)}.
 */
public final class HttpListener implements AutoCloseable {

  /** Longest wait for further bytes of a request, in milliseconds. */
  public static final int READ_TIMEOUT_MS = 30_000;

  /** Largest accepted request line or header line, in bytes. */
  public static final int MAX_HEADER_LINE_BYTES = 16 * 1024;

  /** Largest accepted number of headers in a request. */
  public static final int MAX_HEADERS = 100;

  private static final long CLOSE_TIMEOUT_MS = 3_000;
  private static final int RELEASE_TIMEOUT_MS = 1_000;
  private static final long RELEASE_CHECK_INTERVAL_MS = 2;
  private static final int MAX_PENDING_CONNECTIONS = 1_024;
  private static final int BUFFER_BYTES = 4 * 1024;

  private final HttpServer server;
  private final OpenConnections openConnections;

  private HttpListener(HttpServer server, OpenConnections openConnections) {
    this.server = server;
    this.openConnections = openConnections;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public static HttpListener start(InetSocketAddress address, HttpRequestHandler handler)
      throws IOException {
    Http1Config config =
        Http1Config.custom()
            .setMaxHeaderCount(MAX_HEADERS)
            .setMaxLineLength(MAX_HEADER_LINE_BYTES)
            .setBufferSize(BUFFER_BYTES)
            .build();
    OpenConnections openConnections = new OpenConnections();
    HttpConnectionFactory<DefaultBHttpServerConnection> connectionFactory =
        socket -> {
          CallerConnection connection = new CallerConnection(config, openConnections);
          openConnections.add(connection);
          connection.bind(socket);
          return connection;
        };
    HttpServer server =
        ServerBootstrap.bootstrap()
            .setLocalAddress(address.getAddress())
            .setListenerPort(address.getPort())
            .setSocketConfig(
                SocketConfig.custom()
                    .setSoTimeout(Timeout.ofMilliseconds(READ_TIMEOUT_MS))
                    .setTcpNoDelay(true)
                    .setSoReuseAddress(true)
                    .setBacklogSize(MAX_PENDING_CONNECTIONS)
                    .build())
            .setConnectionFactory(connectionFactory)
            .setExceptionListener(new UnexpectedErrorLogger())
            .setRequestRouter((request, context) -> handler)
            .create();
    try {
      server.start();
    } catch (IOException e) {
      server.close(CloseMode.IMMEDIATE);
      throw new IOException(
          "cannot listen on "
              + address.getHostString()
              + ':'
              + address.getPort()
              + ": "
              + e.getMessage(),
          e);
    }
    return new HttpListener(server, openConnections);
  }

  /** Returns the bound port. */
  public int port() {
    return server.getLocalPort();
  }

  /** Returns whether the caller of the request handled by this thread has disconnected. */
  public static boolean isCallerDisconnected() {
    return CallerConnection.isCallerDisconnected();
  }

  /**
   * Returns an action that immediately closes the connection of the request handled by this thread;
   * it does nothing if the thread handles no request.
   */
  public static Runnable callerConnectionCloser() {
    return CallerConnection.callerConnectionCloser();
  }

  /**
   * Closes idle connections gracefully, then the others by force after a timeout; returns once the
   * address can be bound again.
   */
  @Override
  public void close() {
    final InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    try {
      openConnections.closeIdleAndAwait(CLOSE_TIMEOUT_MS);
      server.initiateShutdown();
      server.awaitTermination(TimeValue.ofMilliseconds(200));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.close(CloseMode.IMMEDIATE);
    awaitReleased(address);
  }

  /**
   * Waits until an address refuses connections: the kernel keeps a closed listening socket until
   * the thread that is blocked in accept has run.
   */
  private static void awaitReleased(InetSocketAddress address) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MS);
    while (acceptsConnections(address) && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RELEASE_CHECK_INTERVAL_MS));
    }
  }

  private static boolean acceptsConnections(InetSocketAddress address) {
    try (Socket probe = new Socket()) {
      probe.connect(address, RELEASE_TIMEOUT_MS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Logs errors other than closed connections, read timeouts and socket errors. */
  private static final class UnexpectedErrorLogger implements ExceptionListener {

    @Override
    public void onError(Exception ex) {
      if (!isExpected(ex)) {
        EventLog.event("listener-error").with("error", ex).warn();
      }
    }

    @Override
    public void onError(HttpConnection connection, Exception ex) {
      if (!isExpected(ex)) {
        EventLog.event("caller-connection-error")
            .with("caller", connection.getRemoteAddress())
            .with("error", ex)
            .info();
      }
    }

    private static boolean isExpected(Exception ex) {
      return ex instanceof ConnectionClosedException
          || ex instanceof SocketTimeoutException
          || ex instanceof SocketException;
    }
  }
}
