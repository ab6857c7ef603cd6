package org.zinniaspan.standins.site;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server whose request handler writes the raw bytes of each response. */
public final class RawServer implements AutoCloseable {

  /**
   * A received request.
   *
   * @param line HTTP request line
   * @param headers header values by header name in lower case
   * @param body request body, decoded as ISO-8859-1
   */
  public record Request(String line, Map<String, String> headers, String body) {

    /** Returns the value of a header, or the empty string if the request has no such header. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Handles requests by writing raw responses. */
  public interface RequestHandler {
    /** Writes the response to the socket and returns whether to keep the connection open. */
    boolean handle(Request request, Socket socket) throws IOException;
  }

  /** Differs from 127.0.0.1, where an outgoing connection could take the port after a crash. */
  private static final String LISTEN_HOST = "127.0.0.4";

  private static final int BACKLOG = 1_024;

  private final int port;
  private volatile ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
  private final CountDownLatch clientClosed = new CountDownLatch(1);
  private volatile RequestHandler handler;
  private boolean closed;

  /** Starts a server on a free port of the loopback interface. */
  public RawServer(RequestHandler handler) throws IOException {
    this.handler = handler;
    this.port = listen(0);
  }

  private int listen(int onPort) throws IOException {
    ServerSocket accepting = new ServerSocket();
    accepting.setReuseAddress(true);
    accepting.bind(new InetSocketAddress(LISTEN_HOST, onPort), BACKLOG);
    listener = accepting;
    threads.execute(() -> acceptConnections(accepting));
    return accepting.getLocalPort();
  }

  /** Returns the listening address in the form host:port. */
  public String address() {
    return LISTEN_HOST + ":" + port;
  }

  /** Resets all connections and refuses new ones until {@link #restart}, like a crashed process. */
  public synchronized void crash() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    sockets.clear();
  }

  /** Accepts connections again after {@link #crash}, unless the server was closed meanwhile. */
  public synchronized void restart() throws IOException {
    if (!closed && listener.isClosed()) {
      listen(port);
    }
  }

  /** Sets the handler for requests from now on. */
  public void setHandler(RequestHandler value) {
    handler = value;
  }

  /** Returns the received requests, oldest first. */
  public List<Request> requests() {
    return requests;
  }

  /** Returns a latch that is released once a client has closed its connection. */
  public CountDownLatch clientClosed() {
    return clientClosed;
  }

  /** Returns the bytes of a response with a JSON body, as text. */
  static String jsonResponse(String status, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nContent-Type: application/json\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  /** Writes the text unchanged, encoded as ISO-8859-1. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private void acceptConnections(ServerSocket accepting) {
    try {
      while (true) {
        Socket socket = accepting.accept();
        sockets.add(socket);
        threads.execute(() -> serveConnection(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serveConnection(Socket socket) {
    try (socket) {
      while (serveRequest(socket)) {
        // Serves the next request.
      }
    } catch (IOException e) {
      clientClosed.countDown();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Serves a request, if there is one; returns whether the connection stays open. */
  private boolean serveRequest(Socket socket) throws IOException {
    Request request = readRequest(socket.getInputStream());
    if (request == null) {
      clientClosed.countDown();
      return false;
    }
    requests.add(request);
    return handler.handle(request, socket);
  }

  private static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    return new Request(line, headers, body);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.shutdownNow();
  }
}
