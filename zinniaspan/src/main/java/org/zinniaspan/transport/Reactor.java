package org.zinniaspan.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.AcceptedChannels;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.zinniaspan.log.EventLog;

/**
 * The event loop: runs all connections on one I/O thread and all timers on another, under one lock.
 *
 * <p>A VM has about one core, so all connections share one state under one lock.
 *
 * <p>Example: {@code reactor.listen(address, () -> new InboundConnection(reactor, ...));}
 */
public final class Reactor implements AutoCloseable {

  /** Length of the queue of connections that wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Idle time before the first TCP keep-alive probe, and time between probes, in seconds. */
  private static final int KEEP_ALIVE_INTERVAL_S = 2;

  /** Unacknowledged TCP keep-alive probes after which a connection has failed. */
  private static final int KEEP_ALIVE_PROBES = 2;

  /** Time between two checks for connections that have timed out, in milliseconds. */
  private static final long TIMEOUT_CHECK_INTERVAL_MS = 500;

  private static final int SCRATCH_BYTES = 8 * 1024;

  private final ByteBuffer skipped = ByteBuffer.allocate(SCRATCH_BYTES);
  private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
  private final ReentrantLock lock = new ReentrantLock();
  private final DefaultConnectingIOReactor reactor;
  private final Acceptor acceptor;
  private final List<InboundConnections> inbound = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService timers;
  private final AtomicBoolean failed = new AtomicBoolean();
  private final Runnable onFailed;
  private volatile boolean closing;

  private Reactor(Runnable onFailed) {
    this.onFailed = onFailed;
    IOReactorConfig config =
        IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setSoKeepAlive(true)
            .setTcpKeepIdle(KEEP_ALIVE_INTERVAL_S)
            .setTcpKeepInterval(KEEP_ALIVE_INTERVAL_S)
            .setTcpKeepCount(KEEP_ALIVE_PROBES)
            .build();
    reactor =
        new DefaultConnectingIOReactor(
            (session, attachment) ->
                ((Supplier<?>) attachment).get() instanceof Connection c ? c : null,
            config,
            runnable -> daemonThread(() -> runLoop(runnable), "io"),
            null,
            this::onError,
            null,
            null);
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(1, runnable -> daemonThread(runnable, "timers"));
    executor.setRemoveOnCancelPolicy(true);
    timers = executor;
    try {
      acceptor =
          new Acceptor(
              ACCEPT_BACKLOG,
              (channel, factory) -> AcceptedChannels.enqueue(reactor, channel, factory),
              this::onListenerFull);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot open a selector", e);
    }
  }

  /**
   * Closes connections of a listener that may have no more; without any descriptor left, those of
   * the listener that has most.
   */
  private void onListenerFull(InboundConnections full, boolean outOfDescriptors) {
    runLocked(
        () -> {
          if (outOfDescriptors) {
            EventLog.event("descriptors-exhausted").with("connections", inboundCount()).warn();
            inbound.stream()
                .max(Comparator.comparingInt(InboundConnections::size))
                .ifPresent(InboundConnections::onDescriptorsExhausted);
          } else {
            full.closeSome();
          }
        });
  }

  /**
   * Logs an error of the reactor's threads.
   *
   * <p>While the reactor closes, errors are ignored: a thread may still use its selector after the
   * selector was closed.
   */
  private void onError(Exception error) {
    if (!closing) {
      EventLog.event("reactor-error").with("error", error).warn();
    }
  }

  /**
   * Creates a reactor and starts its threads.
   *
   * @param onFailed called once if a thread ends or a timer throws an {@link Error}, on that
   *     thread; the reactor does not work from then on
   */
  public static Reactor start(Runnable onFailed) {
    Reactor reactor = new Reactor(onFailed);
    reactor.reactor.start();
    daemonThread(() -> reactor.runLoop(reactor.acceptor), "accept").start();
    reactor.scheduleEvery(
        TIMEOUT_CHECK_INTERVAL_MS,
        () -> reactor.inbound.forEach(InboundConnections::checkTimeouts));
    return reactor;
  }

  /** Runs the loop of a thread, which ends only when the reactor is closed or has failed. */
  private void runLoop(Runnable loop) {
    Object cause = "the loop has ended";
    try {
      loop.run();
    } catch (RuntimeException | Error e) {
      cause = e;
      throw e;
    } finally {
      onLoopEnded(cause);
    }
  }

  private void onLoopEnded(Object cause) {
    if (closing) {
      return;
    }
    try {
      EventLog.event("reactor-failed").with("error", cause).warn();
    } finally {
      if (failed.compareAndSet(false, true)) {
        onFailed.run();
      }
    }
  }

  /** Returns an empty buffer whose content is used before the lock is released. */
  ByteBuffer scratch() {
    return scratch.clear();
  }

  /** Returns an empty buffer whose content nobody reads. */
  ByteBuffer skipped() {
    return skipped.clear();
  }

  /** Returns the lock under which all callbacks and tasks run. */
  public ReentrantLock lock() {
    return lock;
  }

  /**
   * Listens on an address, with any number of connections.
   *
   * @param connectionFactory creates the handler of each accepted connection
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress address, Supplier<InboundConnection> connectionFactory)
      throws IOException {
    listen(address, connectionFactory, InboundConnections.unlimited(() -> 0));
  }

  /**
   * Listens on an address.
   *
   * @param connectionFactory creates the handler of each accepted connection
   * @param connections limits the connections; the factory passes it to each of them
   * @throws IOException if the address cannot be bound
   */
  public void listen(
      InetSocketAddress address,
      Supplier<InboundConnection> connectionFactory,
      InboundConnections connections)
      throws IOException {
    register(connections);
    try {
      acceptor.listen(address, connectionFactory, connections);
    } catch (IOException e) {
      throw new IOException("cannot listen on " + address + ": " + e, e);
    }
  }

  /** Enforces limits on connections from now on. */
  void register(InboundConnections connections) {
    inbound.add(connections);
  }

  /** Closes inbound connections while they hold more bytes than they may. */
  void enforceMemory() {
    inbound.forEach(InboundConnections::enforceMemory);
  }

  /** Returns the number of open inbound connections of all listeners. */
  public int inboundCount() {
    return inbound.stream().mapToInt(InboundConnections::size).sum();
  }

  /** Returns the connection whose unfinished body takes most from a budget for longest. */
  Optional<InboundConnection> heaviestBody(BufferBudget budget, long nowMs) {
    return inbound.stream()
        .flatMap(connections -> connections.heaviestBody(budget).stream())
        .max(Comparator.comparingLong(connection -> connection.weight(nowMs)));
  }

  /**
   * Opens a connection; its own callbacks report that it is open or could not be opened.
   *
   * <p>The reactor of HttpCore checks connect timeouts about once a second, so a timer enforces
   * them.
   *
   * @param timeoutMs connect timeout in milliseconds
   */
  void connect(InetSocketAddress address, long timeoutMs, Connection connection) {
    Supplier<Connection> attachment = () -> connection;
    Future<IOSession> pending = connect(address, timeoutMs, connection, attachment);
    if (!closing) {
      connection.setConnectTimer(
          timers.schedule(
              () ->
                  runTimer(
                      () -> {
                        connection.onConnectTimeout(timeoutMs);
                        pending.cancel(true);
                      }),
              timeoutMs,
              TimeUnit.MILLISECONDS));
    }
  }

  private Future<IOSession> connect(
      InetSocketAddress address,
      long timeoutMs,
      Connection connection,
      Supplier<Connection> attachment) {
    return reactor.connect(
        new HttpHost(address.getHostString(), address.getPort()),
        address,
        null,
        Timeout.ofMilliseconds(timeoutMs),
        attachment,
        new FutureCallback<IOSession>() {
          @Override
          public void completed(IOSession session) {
            // Connection.connected reports that the connection is open.
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

  /**
   * Runs a task repeatedly under the lock.
   *
   * @param intervalMs time from the end of a run to the next run, in milliseconds
   */
  public void scheduleEvery(long intervalMs, Runnable task) {
    timers.scheduleWithFixedDelay(
        () -> runTimer(() -> runLocked(task)), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a timer; the executor would drop it without notice after an {@link Error}. */
  private void runTimer(Runnable timer) {
    try {
      timer.run();
    } catch (Error e) {
      onLoopEnded(e);
      throw e;
    }
  }

  /** Runs a task under the lock; an exception is logged and not thrown. */
  public void runLocked(Runnable task) {
    lock.lock();
    try {
      task.run();
      enforceMemory();
    } catch (RuntimeException e) {
      EventLog.event("timer-fault")
          .with("error", e)
          .with("at", e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0])
          .warn();
    } finally {
      lock.unlock();
    }
  }

  /** Stops the threads; connections that are still open are reset. */
  @Override
  public void close() {
    closing = true;
    timers.shutdownNow();
    try {
      acceptor.close();
    } catch (IOException e) {
      EventLog.event("reactor-error").with("error", e).warn();
    }
    reactor.initiateShutdown();
    reactor.close(CloseMode.IMMEDIATE);
  }

  private static Thread daemonThread(Runnable runnable, String name) {
    Thread thread = new Thread(runnable, name);
    thread.setDaemon(true);
    return thread;
  }
}
