package org.zinniaspan.standins.site;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client that sends and receives raw bytes over one TCP connection. */
public final class RawClient implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 10_000;

  private final Socket socket;

  /** Connects to the given address. */
  public RawClient(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getHostString(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  /** Sends the text unchanged, encoded as ISO-8859-1. */
  public void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /**
   * Reads until the marker has arrived or the peer closes the connection.
   *
   * @throws IOException if no byte arrives within the read timeout
   */
  public String readUntil(String marker) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      while (!bytes.toString(StandardCharsets.ISO_8859_1).contains(marker)) {
        int next = socket.getInputStream().read();
        if (next < 0) {
          break;
        }
        bytes.write(next);
      }
    } catch (SocketTimeoutException e) {
      throw new IOException("read timed out; received so far: " + bytes, e);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads all bytes until the peer closes the connection. */
  public String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
