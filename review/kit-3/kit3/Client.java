package kit3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client attempt on a connection of its own. */
final class Client {

  /**
   * What the client has seen.
   *
   * @param status status; 0 if no head came
   * @param whole whether the answer ended as its framing says
   * @param stamp the server's signature
   * @param events events of a stream, as received
   * @param retryAfterMs pause that the answer asks for; -1 for none
   */
  record Answer(
      int status, boolean whole, String stamp, List<String> events, long retryAfterMs, String error, long endMs) {

    /** Returns the id of the last event; 0 if there was none. */
    int lastEventId() {
      return events.isEmpty()
          ? 0
          : Integer.parseInt(events.get(events.size() - 1).split("\n")[0].substring("id: ".length()));
    }
  }

  private Client() {}

  /**
   * Sends a request and reads its answer.
   *
   * @param head method, target and header lines without the end of the head
   */
  static Answer call(String address, String head, String body, long deadlineMs) {
    int status = 0;
    boolean whole = false;
    String stamp = "";
    long retryAfterMs = -1;
    String error = "";
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    String[] parts = address.split(":");
    try (Socket socket = new Socket()) {
      socket.connect(new java.net.InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) deadlineMs);
      Http.write(
          socket,
          head + "\r\nX-Zinniaspan-Deadline-Ms: " + deadlineMs
              + (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length()) + "\r\n\r\n" + body);
      InputStream in = socket.getInputStream();
      Http.Message answer = Http.readHead(in);
      if (answer == null) {
        error = "closed without an answer";
      } else {
        status = Integer.parseInt(answer.word(1));
        stamp = answer.header("X-Zinniaspan-Server-Stamp");
        if (!answer.header("Retry-After").isEmpty()) {
          retryAfterMs = Math.round(1000 * Double.parseDouble(answer.header("Retry-After")));
        }
        if (answer.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
          while (Http.readChunk(in, content)) {
            // Reads the next chunk.
          }
        } else {
          content.write(Http.readExactly(in, Integer.parseInt(answer.header("Content-Length"))));
        }
        whole = true;
      }
    } catch (IOException e) {
      error = e.toString();
    }
    return new Answer(status, whole, stamp, events(content.toString(StandardCharsets.UTF_8)), retryAfterMs, error, Record.now());
  }

  private static List<String> events(String content) {
    List<String> events = new ArrayList<>();
    int start = 0;
    for (int end = content.indexOf("\n\n"); end >= 0; end = content.indexOf("\n\n", start)) {
      events.add(content.substring(start, end + 2));
      start = end + 2;
    }
    return events.stream().filter(event -> event.startsWith("id: ")).toList();
  }
}
