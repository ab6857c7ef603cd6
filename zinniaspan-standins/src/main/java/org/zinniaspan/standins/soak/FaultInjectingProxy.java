package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
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
 * message. Example: {@code proxy.setMode(Mode.SILENT); ... proxy.setMode(Mode.PASS);}
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
    ONE_WAY
  }

  private static final long DELAY_MS = 120;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BACKLOG = 200;

  private final InetSocketAddress target;
  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile Mode mode = Mode.PASS;

  /** Starts a proxy on a free port that forwards to the target. */
  FaultInjectingProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    threads.execute(this::acceptConnections);
  }

  /** Returns the listening address in the form host:port. */
  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets the fault from now on; {@link Mode#RESET} resets the open connections at once. */
  void setMode(Mode value) {
    mode = value;
    if (value == Mode.RESET) {
      sockets.forEach(FaultInjectingProxy::reset);
    }
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket clientSocket = listener.accept();
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
      Socket serverSocket = new Socket(target.getHostString(), target.getPort());
      sockets.add(clientSocket);
      sockets.add(serverSocket);
      threads.execute(() -> copyBytes(serverSocket, clientSocket, true));
      copyBytes(clientSocket, serverSocket, false);
    } catch (IOException e) {
      reset(clientSocket);
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
        droppedBytes |= currentMode == Mode.SILENT || (isResponse && currentMode == Mode.ONE_WAY);
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
      reset(to);
    } finally {
      sockets.remove(from);
    }
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
  public void close() throws IOException {
    listener.close();
    sockets.forEach(FaultInjectingProxy::reset);
    threads.shutdownNow();
  }
}
