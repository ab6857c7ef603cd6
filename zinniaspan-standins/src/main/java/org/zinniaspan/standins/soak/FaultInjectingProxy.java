package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP proxy on the loopback interface that injects faults into the connections through it.
 *
 * <p>Once bytes of a direction have been dropped, all later bytes of that direction are dropped
 * too, also after the mode has changed, as the receiver would read the remainder as another
 * message. While the server refuses connections, so does the proxy. Example: {@code
 * proxy.setMode(Mode.SILENT); ... proxy.setMode(Mode.PASS);}
 */
final class FaultInjectingProxy implements AutoCloseable {

  /** The fault to inject. */
  enum Mode {
    /** No fault: bytes are forwarded. */
    PASS,
    /** Each chunk is forwarded {@value #DELAY_MS} ms late. */
    DELAY,
    /** Existing and new connections are reset. */
    RESET,
    /** Bytes are dropped in both directions. */
    SILENT,
    /** Bytes from the server to the client are dropped. */
    ONE_WAY,
    /** New connections are refused, and bytes are dropped in both directions. */
    PARTITION
  }

  private static final long DELAY_MS = 120;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final long TARGET_CHECK_INTERVAL_MS = 50;
  private static final int BACKLOG = 200;

  /** Differs from 127.0.0.1, where an outgoing connection could take the port of a partition. */
  private static final String LISTEN_HOST = "127.0.0.3";

  private final InetSocketAddress target;
  private final int port;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private ServerSocket listener;
  private volatile Mode mode = Mode.PASS;
  private volatile boolean closed;

  /** Starts a proxy on a free port that forwards to the target. */
  FaultInjectingProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.port = listen(0);
  }

  /** Starts to accept connections and returns the port. */
  private int listen(int onPort) throws IOException {
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(LISTEN_HOST, onPort), BACKLOG);
    ServerSocket accepting = listener;
    threads.execute(() -> acceptConnections(accepting));
    return accepting.getLocalPort();
  }

  /** Returns the listening address in the form host:port. */
  String address() {
    return LISTEN_HOST + ":" + port;
  }

  /**
   * Sets the fault from now on; {@link Mode#RESET} resets the open connections at once.
   *
   * @throws IOException if the port cannot be bound again after {@link Mode#PARTITION}
   */
  synchronized void setMode(Mode value) throws IOException {
    mode = value;
    if (value == Mode.RESET) {
      sockets.forEach(FaultInjectingProxy::reset);
    }
    if (value == Mode.PARTITION) {
      listener.close();
    } else if (listener.isClosed()) {
      listen(port);
    }
  }

  private void acceptConnections(ServerSocket accepting) {
    try {
      while (true) {
        Socket clientSocket = accepting.accept();
        threads.execute(() -> proxyConnection(clientSocket));
      }
    } catch (IOException e) {
      // close() closed the listener.
    }
  }

  private void proxyConnection(Socket clientSocket) {
    if (mode == Mode.RESET) {
      reset(clientSocket);
      return;
    }
    try {
      Socket serverSocket = connectToTarget();
      sockets.add(clientSocket);
      sockets.add(serverSocket);
      threads.execute(() -> copyBytes(serverSocket, clientSocket, true));
      copyBytes(clientSocket, serverSocket, false);
    } catch (IOException e) {
      refuseWhileTargetDoes();
      reset(clientSocket);
    }
  }

  private Socket connectToTarget() throws IOException {
    return new Socket(target.getHostString(), target.getPort());
  }

  /** Stops accepting connections until the server accepts some, unless it does now. */
  private void refuseWhileTargetDoes() {
    if (targetAccepts()) {
      return;
    }
    synchronized (this) {
      if (closed || listener.isClosed()) {
        return;
      }
      closeListener();
    }
    threads.execute(
        () -> {
          while (!closed && !targetAccepts()) {
            LockSupport.parkNanos(TARGET_CHECK_INTERVAL_MS * NANOS_PER_MS);
          }
          resumeAccepting();
        });
  }

  private boolean targetAccepts() {
    try (Socket probe = connectToTarget()) {
      return probe.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  private synchronized void closeListener() {
    try {
      listener.close();
    } catch (IOException e) {
      // The listener is closed already.
    }
  }

  private synchronized void resumeAccepting() {
    try {
      if (!closed && mode != Mode.PARTITION && listener.isClosed()) {
        listen(port);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void copyBytes(Socket from, Socket to, boolean isResponse) {
    boolean droppedBytes = false;
    byte[] bytes = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        Mode currentMode = mode;
        droppedBytes |= isDropping(currentMode, isResponse);
        if (currentMode == Mode.DELAY) {
          LockSupport.parkNanos(DELAY_MS * NANOS_PER_MS);
        }
        if (!droppedBytes) {
          out.write(bytes, 0, count);
          out.flush();
        }
      }
      if (!droppedBytes) {
        to.shutdownOutput();
      }
    } catch (IOException e) {
      // One side has closed its connection; close the other side too.
      if (isResponse) {
        refuseWhileTargetDoes();
      }
      reset(to);
    } finally {
      sockets.remove(from);
    }
  }

  private static boolean isDropping(Mode mode, boolean isResponse) {
    return mode == Mode.SILENT || mode == Mode.PARTITION || (isResponse && mode == Mode.ONE_WAY);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The socket is closed already.
    }
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    listener.close();
    sockets.forEach(FaultInjectingProxy::reset);
    threads.shutdownNow();
  }
}
