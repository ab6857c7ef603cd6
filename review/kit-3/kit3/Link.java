package kit3;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** The path from one VM to another process; while it is cut, bytes wait in both directions. */
final class Link {

  private Listener listener;
  private final String target;
  private final AtomicLong sentBytes = new AtomicLong();
  private boolean cut;

  Link(String ip, String target) throws IOException {
    this.target = target;
    listener = new Listener(ip, 0, this::serve);
  }

  String address() {
    return listener.address();
  }

  /** Returns how many bytes the VM has sent over the path. */
  long sentBytes() {
    return sentBytes.get();
  }

  /** Cuts the path silently. */
  synchronized void cut() {
    cut = true;
  }

  /** Restores the path; what waited is delivered. */
  synchronized void heal() {
    cut = false;
    notifyAll();
  }

  /** Resets what is open, and refuses new connections. */
  synchronized void refuse() {
    listener.close();
  }

  /** Accepts connections again. */
  synchronized void accept() throws IOException {
    listener = new Listener(listener.address().split(":")[0], listener.port(), this::serve);
  }

  private synchronized void awaitPath() throws IOException {
    while (cut) {
      try {
        wait();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  private void serve(Socket client) throws IOException {
    awaitPath();
    String[] parts = target.split(":");
    try (Socket server = new Socket(parts[0], Integer.parseInt(parts[1]))) {
      server.setTcpNoDelay(true);
      Listener.start(() -> pump(server, client, new AtomicLong()));
      pump(client, server, sentBytes);
    }
  }

  private void pump(Socket from, Socket to, AtomicLong bytes) {
    byte[] part = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(part); count >= 0; count = in.read(part)) {
        bytes.addAndGet(count);
        awaitPath();
        to.getOutputStream().write(part, 0, count);
      }
      awaitPath();
    } catch (IOException e) {
      // The connection is over.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }
}
