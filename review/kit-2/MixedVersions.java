import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers crash and start again under their ids with a newer version of their software, while the
 * store is down.
 */
final class MixedVersions {

  private static final int SESSIONS_PER_VM = 24;
  private static final int EVENTS = 75;
  private static final int ALLOWED = 2;
  private static final long STORE_DOWN_MS = 8_000;
  private static final long SERVER_DOWN_MS = 1_000;

  private static volatile boolean running = true;
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger WHOLE = new AtomicInteger();
  private static final AtomicInteger MIXED = new AtomicInteger();

  private MixedVersions() {}

  public static void main(String[] args) {
    Kit.main(Path.of(args[0]), MixedVersions::run);
  }

  private static int run(Kit.Record record, Path root, Path logs) throws Exception {
    Kit.Store store = new Kit.Store(record);
    store.put(
        "op/config",
        Kit.configuration(
            7,
            List.of(Kit.route("chat", "/chat/", "streaming", "llm", 15_000, 2, false, true)),
            List.of(Kit.service("llm", true)),
            Map.of("tenant-1", List.of("key-1"))));
    List<Kit.Server> servers = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      Kit.Server server =
          new Kit.Server(
              store, record, "i-" + i, "llm", "zone-a", "v1", 64, MixedVersions::generate);
      server.register("ready");
      servers.add(server);
    }
    List<Kit.Vm> vms = Kit.startVms(root, logs, store, List.of("zone-a", "zone-a"));
    try {
      if (!Kit.awaitReady(vms)) {
        record.line("the daemons did not become ready");
        return Kit.EXIT_NOT_RUN;
      }
      for (Kit.Vm vm : vms) {
        for (int i = 0; i < SESSIONS_PER_VM; i++) {
          String session = vm.name + "-" + i;
          Kit.spawn(
              () -> {
                Kit.sleep((long) (Math.random() * 5_000));
                chat(vm, session, record);
              });
        }
      }
      Kit.sleep(6_000);
      if (Kit.trouble()) {
        store.setSilent(true);
        long downMs = Kit.nowMs();
        for (Kit.Server server : servers) {
          Kit.sleep(600);
          upgrade(server, record);
        }
        Kit.sleep(downMs + STORE_DOWN_MS - Kit.nowMs());
        store.setSilent(false);
        // Servers that could not write their entries do so now.
        servers.forEach(server -> server.register("ready"));
      }
      Kit.sleep(8_000);
      running = false;
      Kit.sleep(4_000);
      record.line(WHOLE + " whole streams; " + MIXED
          + " streams hold events from servers of two software versions");
      return MIXED.get() > ALLOWED ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    } finally {
      running = false;
      Kit.end(vms);
    }
  }

  /** A server crashes, and is back with the next version under its id and address. */
  private static void upgrade(Kit.Server server, Kit.Record record) throws IOException {
    record.line("server " + server.id + " crashes for " + SERVER_DOWN_MS + " ms");
    server.http.crash();
    Kit.sleep(SERVER_DOWN_MS);
    server.version = "v2";
    server.born = System.currentTimeMillis();
    server.http.restart();
    record.line("server " + server.id + " runs again, with software v2");
  }

  private static boolean generate(Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    String version = server.version;
    Kit.sleep(100);
    Kit.write(
        socket,
        "HTTP/1.1 200 OK\r\n" + server.signed(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    String last = request.header("Last-Event-Id");
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      Kit.write(
          socket,
          Kit.chunk("id: " + i + "\ndata: " + server.id + " " + version + " piece " + i + "\n\n"));
      Kit.sleep(100);
    }
    Kit.write(socket, "0\r\n\r\n");
    return true;
  }

  private static void chat(Kit.Vm vm, String session, Kit.Record record) {
    while (running) {
      String id = "chat-" + NUMBER.incrementAndGet();
      StringBuilder events = new StringBuilder();
      try (Kit.Client client = new Kit.Client(vm.front(), 15_000)) {
        client.send(
            "POST",
            "/chat/x",
            "X-Zinniaspan-Attempt-Id: " + id + "\r\nAuthorization: Bearer key-1\r\n"
                + "X-Zinniaspan-Deadline-Ms: 15000\r\nX-Zinniaspan-Model: m\r\n"
                + "X-Zinniaspan-Token-Usage: 700,200\r\n"
                + "X-Zinniaspan-Prefix-Hash: 5c1e07a2:200,"
                + String.format("%08x", (session + id).hashCode()) + ":500\r\n",
            "prompt");
        Kit.Response head = client.readHead();
        if (head.status() != 200) {
          record.line("client of " + vm.name + " got " + head.status() + " for " + id);
          Kit.sleep(500);
          continue;
        }
        for (byte[] part = client.chunk(); part.length > 0; part = client.chunk()) {
          events.append(new String(part));
        }
        WHOLE.incrementAndGet();
        judge(vm, id, events.toString(), "whole", record);
      } catch (IOException e) {
        judge(vm, id, events.toString(), "not whole", record);
        Kit.sleep(300);
      }
    }
  }

  private static void judge(
      Kit.Vm vm, String id, String events, String end, Kit.Record record) {
    boolean mixed = events.contains(" v1 ") && events.contains(" v2 ");
    if (mixed) {
      MIXED.incrementAndGet();
    }
    record.line("client of " + vm.name + " got a stream for " + id + ", " + end
        + (mixed ? ", with events of v1 and v2: " + events.replaceAll("\\s+", " ") : ""));
  }
}
