package org.zinniaspan.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.zinniaspan.log.EventLog;

/**
 * Runs all connections on one I/O thread, and timers on another, under one lock.
 *
 * <p>A VM has about one core, so that one shard of state with one lock serves all connections.
 *
 * <p>Example: {@code reactor.listen(address, () -> new InboundConnection(reactor, ...));}
 */
public final class Reactor implements AutoCloseable {

  /** Connections that may wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Idle seconds before TCP probes a connection, and seconds between probes. */
  private static final int KEEP_ALIVE_INTERVAL_S = 2;

  /** Probes without an answer after which a connection has failed. */
  private static final int KEEP_ALIVE_PROBES = 2;

  private final ReentrantLock lock = new ReentrantLock();
  private final DefaultListeningIOReactor reactor;
  private final ScheduledExecutorService timers;
  private volatile boolean closing;

  private Reactor() {
    IOReactorConfig config =
        IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setSoKeepAlive(true)
            .setTcpKeepIdle(KEEP_ALIVE_INTERVAL_S)
            .setTcpKeepInterval(KEEP_ALIVE_INTERVAL_S)
            .setTcpKeepCount(KEEP_ALIVE_PROBES)
            .setSoReuseAddress(true)
            .setBacklogSize(ACCEPT_BACKLOG)
            .build();
    reactor =
        new DefaultListeningIOReactor(
            (session, attachment) ->
                ((Supplier<?>) attachment).get() instanceof Connection c ? c : null,
            config,
            runnable -> daemonThread(runnable, "io"),
            runnable -> daemonThread(runnable, "accept"),
            null,
            this::onError,
            null,
            null);
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(1, runnable -> daemonThread(runnable, "timers"));
    executor.setRemoveOnCancelPolicy(true);
    timers = executor;
  }

  /** The threads of a reactor that is closed may find their selector closed in their last step. */
  private void onError(Exception error) {
    if (!closing) {
      EventLog.event("reactor-error").with("error", error).warn();
    }
  }

  /** Starts the threads. */
  public static Reactor start() {
    Reactor reactor = new Reactor();
    reactor.reactor.start();
    return reactor;
  }

  /** Returns the lock under which all callbacks run. */
  public ReentrantLock lock() {
    return lock;
  }

  /**
   * Accepts connections at an address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress address, Supplier<InboundConnection> connectionFactory)
      throws IOException {
    try {
      reactor.listen(address, connectionFactory, null).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + address, e);
    } catch (ExecutionException e) {
      throw new IOException("cannot listen on " + address + ": " + e.getCause(), e);
    }
  }

  /** Opens a connection; it reports its opening or its loss by its own callbacks. */
  void connect(InetSocketAddress address, long timeoutMs, Connection connection) {
    Supplier<Connection> attachment = () -> connection;
    reactor.connect(
        new HttpHost(address.getHostString(), address.getPort()),
        address,
        null,
        Timeout.ofMilliseconds(timeoutMs),
        attachment,
        new FutureCallback<IOSession>() {
          @Override
          public void completed(IOSession session) {
            // The connection's own callback tells that it is open.
          }

          @Override
          public void failed(Exception cause) {
            connection.onConnectFailed(cause);
          }

          @Override
          public void cancelled() {
            connection.onConnectFailed(new IOException("the connection attempt was cancelled"));
          }
        });
  }

  /** Runs a task repeatedly under the lock. */
  public void scheduleEvery(long intervalMs, Runnable task) {
    timers.scheduleWithFixedDelay(
        () -> runLocked(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task under the lock. */
  public void runLocked(Runnable task) {
    lock.lock();
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLog.event("timer-fault")
          .with("error", e)
          .with("at", e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0])
          .warn();
    } finally {
      lock.unlock();
    }
  }

  /** Ends the threads; connections that are still open are reset. */
  @Override
  public void close() {
    closing = true;
    timers.shutdownNow();
    reactor.initiateShutdown();
    reactor.close(CloseMode.IMMEDIATE);
  }

  private static Thread daemonThread(Runnable runnable, String name) {
    Thread thread = new Thread(runnable, name);
    thread.setDaemon(true);
    return thread;
  }
}
