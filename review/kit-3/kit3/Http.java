package kit3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {

  private Http() {}

  /** A message; header names are in lower case. */
  record Message(String line, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String word(int index) {
      return line.split(" ")[index];
    }
  }

  /** Reads a head; returns null at the end of the input before the first byte. */
  static Message readHead(InputStream in) throws IOException {
    String line = readLine(in, true);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String field = readLine(in, false); !field.isEmpty(); field = readLine(in, false)) {
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
    }
    return new Message(line, headers, new byte[0]);
  }

  /** Reads a request with its body; returns null at the end of the input. */
  static Message readRequest(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      while (readChunk(in, body)) {
        // Reads the next chunk.
      }
    } else if (!head.header("content-length").isEmpty()) {
      body.write(readExactly(in, Integer.parseInt(head.header("content-length"))));
    }
    return new Message(head.line(), head.headers(), body.toByteArray());
  }

  /** Reads a chunk; returns false after the last one. */
  static boolean readChunk(InputStream in, ByteArrayOutputStream to) throws IOException {
    int size = Integer.parseInt(readLine(in, false).trim(), 16);
    to.write(readExactly(in, size));
    readLine(in, false);
    return size > 0;
  }

  static byte[] readExactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the body ends after " + bytes.length + " of " + count + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("the message ends inside its head");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }
}
