import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A small deployment like placalimpa-ne: a store, application servers, model servers, daemons. */
final class Site {

  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String TENANT = "hule930";
  static final String CONSOLE = "app-consultas";
  static final String MODELS = "zinniaspan-frota";
  static final String[] ZONES = {"recife-a", "fortaleza-a", "recife-b"};

  /** A request that a server began to work on. */
  record Run(String server, String id, long atMs, Kit.Request request) {}

  /** A server of a service; it runs requests, and a fault may replace what it writes. */
  static final class Server {
    /** Writes the answer to a request that runs; returns whether the connection is kept. */
    interface Work {
      boolean answer(Server server, Kit.Request request, Socket socket) throws IOException;
    }

    final String id;
    final Kit.HttpServer http;
    final ConcurrentLinkedQueue<Run> runs;
    volatile Work work;

    Server(String id, ConcurrentLinkedQueue<Run> runs, Work work) throws IOException {
      this.id = id;
      this.runs = runs;
      this.work = work;
      http = new Kit.HttpServer(Kit.SERVER_HOST, this::handle);
    }

    private boolean handle(Kit.Request request, Socket socket) throws IOException {
      OutputStream out = socket.getOutputStream();
      if (request.target().equals("/report")) {
        String body =
            "{\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":689187,\"handles\":0,\"sequence\":1,\"busy\":false,\"stage\":\"mixed\"}";
        out.write(
            Kit.bytes(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body));
        return true;
      }
      if (request.target().equals("/healthz")) {
        out.write(
            Kit.bytes(
                "HTTP/1.1 200 OK\r\nX-Zinniaspan-Instance-Id: "
                    + id
                    + "\r\nContent-Length: 0\r\n\r\n"));
        return true;
      }
      String expected = request.header("X-Zinniaspan-Expect-Instance");
      if (!expected.isEmpty() && !expected.equals(id)) {
        out.write(
            Kit.bytes(
                "HTTP/1.1 421 Misdirected Request\r\nX-Zinniaspan-Instance-Id: "
                    + id
                    + "\r\nX-Zinniaspan-Attempt-Id: "
                    + request.id()
                    + "\r\nContent-Length: 0\r\n\r\n"));
        return true;
      }
      runs.add(new Run(id, request.id(), Kit.now(), request));
      return work.answer(this, request, socket);
    }

    String stamp(String attemptId) {
      return id + ".07.5a2.600.0." + attemptId;
    }

    /** Returns the head of an answer with a length. */
    String head(String attemptId, int length) {
      return "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: "
          + attemptId
          + "\r\nX-Zinniaspan-Server-Stamp: "
          + stamp(attemptId)
          + "\r\nContent-Type: application/octet-stream\r\nContent-Length: "
          + length
          + "\r\n\r\n";
    }
  }

  final Kit.Record record;
  final Path logs;
  final Kit.Store store;
  final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
  final Map<String, Server> servers = new LinkedHashMap<>();
  final List<String> peers = new ArrayList<>();
  final List<String> extraRoutes = new ArrayList<>();
  private int version = 7;

  Site(Kit.Record record) throws IOException {
    this.record = record;
    logs = Kit.temporaryFolder();
    store = new Kit.Store();
  }

  /** The whole body of an answer: 800 bytes that name the request. */
  static String body(String attemptId) {
    return ("answer to " + attemptId + " ").repeat(40).substring(0, 800);
  }

  /** Answers after some work with the whole body. */
  static Server.Work plain(long workMs) {
    return (server, request, socket) -> {
      Kit.sleep(workMs);
      String body = body(request.id());
      socket.getOutputStream().write(Kit.bytes(server.head(request.id(), body.length()) + body));
      return true;
    };
  }

  Server addServer(String id, String service, int zone, int slots, Server.Work work)
      throws IOException {
    Server server = new Server(id, runs, work);
    servers.put(id, server);
    putEntry(server, service, zone, slots, "ready");
    return server;
  }

  void putEntry(Server server, String service, int zone, int slots, String state) {
    store.put(
        "servers/" + server.id,
        Kit.serverEntry(
            service, server.http.address(), ZONES[zone], slots, state, 1_700_000_000_000L));
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      long timeoutMs,
      long targetMs,
      int priority,
      String service,
      int attempts,
      String more) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + Kit.ROUTE_HOST
        + "\",\"prefix\":\""
        + prefix
        + "\",\"route_kind\":\""
        + kind
        + "\",\"timeout_ms\":"
        + timeoutMs
        + ",\"target_latency_ms\":"
        + targetMs
        + ",\"priority\":"
        + priority
        + ",\"service\":\""
        + service
        + "\",\"max_attempts\":"
        + attempts
        + ",\"anonymous\":false"
        + more
        + "}";
  }

  /** Writes the next configuration: the routes of the sheet, and those that a case adds. */
  int publish(List<String> keys) {
    version++;
    List<String> routes = new ArrayList<>();
    routes.add(route("cobranca-consulta", "/cobranca/", "unsafe", 2_000, 243, 2, CONSOLE, 1, ""));
    routes.add(route("leitura-laudo", "/leitura/", "safe", 2_000, 243, 2, CONSOLE, 2, ""));
    routes.add(
        route(
            "pergunta-balcao",
            "/pergunta/",
            "streaming",
            15_000,
            300,
            0,
            MODELS,
            2,
            ",\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200"));
    routes.add(
        route(
            "dossie-completo",
            "/dossie/",
            "streaming",
            15_000,
            2_000,
            2,
            MODELS,
            1,
            ",\"sticky\":true,\"resumable\":false,\"gap_target_ms\":800"));
    routes.addAll(extraRoutes);
    String engine =
        "{\"slots\":64,\"kv_capacity\":689187,\"kv_bytes\":163840,\"link_mbps\":180000.0}";
    store.put(
        "op/config",
        "{\"version\":"
            + version
            + ",\"routes\":["
            + String.join(",", routes)
            + "],\"services\":["
            + "{\"name\":\""
            + MODELS
            + "\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
            + engine
            + "},"
            + "{\"name\":\""
            + CONSOLE
            + "\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\""
            + TENANT
            + "\",\"api_keys\":["
            + String.join(",", keys.stream().map(k -> "\"" + k + "\"").toList())
            + "],\"priority\":1}]}");
    return version;
  }

  /** Writes down each request that a server began to work on. */
  void recordRuns() {
    for (Run run : runs) {
      record.add(
          "ran: %s at %s from %d ms, %s, %d bytes of body",
          run.id(), run.server(), run.atMs(), run.request().line(), run.request().body().length);
    }
  }

  Kit.Daemon addDaemon(String name, int zone, String storeAddress) throws IOException {
    Kit.Daemon daemon = new Kit.Daemon(name, ZONES[zone], storeAddress, peers, logs);
    peers.add(daemon.peer);
    return daemon;
  }

  Kit.Daemon startDaemon() throws IOException {
    Kit.Daemon daemon = addDaemon("edge-1", 0, store.server.address());
    daemon.start();
    daemon.awaitReady(20_000);
    return daemon;
  }
}
