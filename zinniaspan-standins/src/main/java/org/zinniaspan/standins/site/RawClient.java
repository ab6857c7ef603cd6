package org.zinniaspan.standins.site;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client that writes and reads raw bytes over one connection. */
public final class RawClient implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 10_000;

  private final Socket socket;

  /** Connects to an address. */
  public RawClient(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getHostString(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  /** Sends text as it is. */
  public void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads until a text has arrived or the connection ends. */
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
      throw new IOException("only this arrived: " + bytes, e);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads all until the connection ends. */
  public String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
