package kit3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address, each served by a thread of its own. */
final class Listener {

  interface Handler {
    void serve(Socket socket) throws IOException;
  }

  private final ServerSocket listener = new ServerSocket();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Handler handler;

  Listener(String ip, int port, Handler handler) throws IOException {
    this.handler = handler;
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
    start(this::acceptAll);
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  int port() {
    return listener.getLocalPort();
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        // The listener was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      handler.serve(socket);
    } catch (IOException | RuntimeException e) {
      // The connection is over.
    } finally {
      open.remove(socket);
    }
  }

  /** Closes the connections that are open. */
  void closeConnections() {
    for (Socket socket : open) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }

  /** Ends like a process: nothing listens any more, and the connections are closed. */
  void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // It is closed.
    }
    closeConnections();
  }
}
