package kit3;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound server: runs each request that is meant for it, and records it. */
final class Server {

  /** A request that reached the server and was run. */
  record Run(String server, String attempt, String target, String tenant, long arrivedMs) {}

  final String id;
  final String service;
  final String version;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final Listener listener;
  private final Record record;
  private final long workMs;
  private final int events;
  private final long gapMs;
  private final long bornMs = System.currentTimeMillis();

  /**
   * Starts a server.
   *
   * @param workMs work on a plain request
   * @param events events of a stream; 0 answers with a text
   * @param gapMs time between two events
   */
  Server(Record record, String ip, String id, String service, String version, long workMs, int events, long gapMs)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.version = version;
    this.workMs = workMs;
    this.events = events;
    this.gapMs = gapMs;
    this.listener = new Listener(ip, 0, this::serve);
  }

  /** Returns the entry that the server writes to the store. */
  String entry(String zone, String state) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":64,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
        service, listener.address(), zone, version, state, bornMs);
  }

  String address() {
    return listener.address();
  }

  /** Ends the process. */
  void exit() {
    record.line("server %s ends", id);
    listener.close();
  }

  private void serve(Socket socket) throws IOException {
    for (Http.Message request = Http.readRequest(socket.getInputStream());
        request != null;
        request = Http.readRequest(socket.getInputStream())) {
      if (request.word(1).equals("/report")) {
        String body =
            "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                + "\"sequence\":1,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":600000,\"handles\":0,\"born\":"
                + bornMs + "}";
        Http.write(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
      } else {
        answer(request, socket);
      }
    }
  }

  private void answer(Http.Message request, Socket socket) throws IOException {
    String attempt = request.header("X-Zinniaspan-Attempt-Id");
    String expected = request.header("X-Zinniaspan-Expect-Instance");
    String echo = "\r\nX-Zinniaspan-Attempt-Id: " + attempt;
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.write(
          socket,
          "HTTP/1.1 421 Misdirected Request\r\nX-Zinniaspan-Not-Executed: 1\r\nContent-Length: 0" + echo + "\r\n\r\n");
      return;
    }
    runs.add(new Run(id, attempt, request.word(1), request.header("X-Zinniaspan-Tenant"), Record.now()));
    String from = request.header("Last-Event-Id");
    record.line("server %s (%s %s) runs %s%s", id, service, version, attempt, from.isEmpty() ? "" : " after event " + from);
    String head = "HTTP/1.1 200 OK" + echo + "\r\nX-Zinniaspan-Server-Stamp: " + id + "." + attempt;
    if (events == 0) {
      sleep(workMs);
      String body = "answer of " + id + " to " + attempt;
      Http.write(socket, head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      return;
    }
    sleep(workMs);
    Http.write(socket, head + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = from.isEmpty() ? 1 : Integer.parseInt(from) + 1; number <= events; number++) {
      String event = "id: " + number + "\ndata: " + service + " " + version + " " + id + "\n\n";
      Http.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      sleep(gapMs);
    }
    Http.write(socket, "0\r\n\r\n");
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
