import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A model server crashes while it reads prompts whose prefixes have many parts. */
final class ManyParts {

  private static final int PARTS = 1_100;
  private static final int SESSIONS_PER_VM = 20;
  private static final int ORDINARY_CLIENTS_PER_VM = 16;
  private static final long TIMEOUT_MS = 1_000;
  private static final long ALLOWED_BEYOND_MS = 500;
  private static final int FEWEST = 8;
  private static final long PREFILL_MS = 800;
  private static final long CRASH_MS = 2_000;
  private static final long OBSERVED_MS = 40_000;

  private record Sent(String vm, String id, long sentMs, long answeredMs, String answer) {}

  private static volatile boolean running = true;
  private static final AtomicInteger NUMBER = new AtomicInteger();

  private ManyParts() {}

  public static void main(String[] args) {
    Kit.main(Path.of(args[0]), ManyParts::run);
  }

  private static int run(Kit.Record record, Path root, Path logs) throws Exception {
    Kit.Store store = new Kit.Store(record);
    List<Kit.Server> models = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      models.add(new Kit.Server(store, record, "m-" + i, "llm", "zone-a", "v1", 64, ManyParts::generate));
    }
    List<Kit.Server> apps = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      apps.add(new Kit.Server(store, record, "a-" + i, "app", "zone-a", "v1", 6, ManyParts::act));
    }
    store.put(
        "op/config",
        Kit.configuration(
            7,
            List.of(
                Kit.route("chat", "/chat/", "streaming", "llm", 15_000, 2, false, true),
                Kit.route("act", "/act/", "unsafe", "app", TIMEOUT_MS, 1, false, false)),
            List.of(Kit.service("llm", true), Kit.service("app", false)),
            Map.of("tenant-1", List.of("key-1"))));
    models.forEach(server -> server.register("ready"));
    apps.forEach(server -> server.register("ready"));
    List<Kit.Vm> vms = Kit.startVms(root, logs, store, List.of("zone-a", "zone-a"));
    try {
      if (!Kit.awaitReady(vms)) {
        record.line("the daemons did not become ready");
        return Kit.EXIT_NOT_RUN;
      }
      ConcurrentLinkedQueue<Sent> ordinary = new ConcurrentLinkedQueue<>();
      for (Kit.Vm vm : vms) {
        for (int i = 0; i < SESSIONS_PER_VM; i++) {
          String session = vm.name + "-" + i;
          Kit.spawn(() -> chat(vm, session, record));
        }
        for (int i = 0; i < ORDINARY_CLIENTS_PER_VM; i++) {
          Kit.spawn(() -> ordinary(vm, record, ordinary));
        }
      }
      Kit.sleep(8_000);
      if (Kit.trouble()) {
        record.line("server m-1 crashes for " + CRASH_MS + " ms");
        models.get(0).http.crash();
        Kit.spawn(
            () -> {
              Kit.sleep(CRASH_MS);
              models.get(0).id = "m-1b";
              models.get(0).born = System.currentTimeMillis();
              models.get(0).http.restart();
              models.get(0).register("ready");
              // The entry of the crashed server goes after three heartbeats.
              Kit.sleep(3_600 - CRASH_MS);
              store.delete("servers/m-1");
            });
      }
      Kit.sleep(OBSERVED_MS);
      running = false;
      Kit.sleep(2 * (TIMEOUT_MS + ALLOWED_BEYOND_MS));
      return judge(record, vms, ordinary);
    } finally {
      running = false;
      Kit.end(vms);
    }
  }

  /** Reads a prompt for as long as a long one takes, then makes 20 events. */
  private static boolean generate(Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    Kit.sleep(PREFILL_MS);
    Kit.write(
        socket,
        "HTTP/1.1 200 OK\r\n" + server.signed(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    String last = request.header("Last-Event-Id");
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= 20; i++) {
      Kit.write(socket, Kit.chunk("id: " + i + "\ndata: piece " + i + "\n\n"));
      Kit.sleep(20);
    }
    Kit.write(socket, "0\r\n\r\n");
    return true;
  }

  private static boolean act(Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    Kit.sleep(20);
    Kit.write(socket, Kit.response("200 OK", server.signed(request), "done"));
    return true;
  }

  /** A session whose prompt has one part a turn; it asks again after each answer. */
  private static void chat(Kit.Vm vm, String session, Kit.Record record) throws IOException {
    StringBuilder prefix = new StringBuilder("5c1e07a2:64");
    for (int i = 1; i < PARTS; i++) {
      prefix.append(',').append(String.format("%08x", (session + i).hashCode())).append(":16");
    }
    while (running) {
      String id = "chat-" + session + "-" + NUMBER.incrementAndGet();
      try (Kit.Client client = new Kit.Client(vm.front(), 30_000)) {
        long sentMs = Kit.nowMs();
        client.send(
            "POST",
            "/chat/x",
            "X-Zinniaspan-Attempt-Id: " + id + "\r\nAuthorization: Bearer key-1\r\n"
                + "X-Zinniaspan-Deadline-Ms: 15000\r\nX-Zinniaspan-Model: m\r\n"
                + "X-Zinniaspan-Token-Usage: " + (64 + 16 * (PARTS - 1)) + ",100\r\n"
                + "X-Zinniaspan-Prefix-Hash: " + prefix + "\r\n",
            "prompt");
        Kit.Response answer = client.read();
        record.line("client of " + vm.name + " got " + answer.status() + " for " + id + " after "
            + (Kit.nowMs() - sentMs) + " ms");
        Kit.sleep(answer.status() == 200 ? 100 : 500);
      } catch (IOException e) {
        record.line("client of " + vm.name + " got no whole answer for " + id + ": " + e);
        Kit.sleep(500);
      }
    }
  }

  /** Sends plain requests on a kept connection, and waits longer than the route's timeout. */
  private static void ordinary(Kit.Vm vm, Kit.Record record, ConcurrentLinkedQueue<Sent> results) {
    while (running) {
      try (Kit.Client client = new Kit.Client(vm.front(), 20_000)) {
        while (running) {
          String id = "act-" + vm.name + "-" + NUMBER.incrementAndGet();
          long sentMs = Kit.nowMs();
          results.add(new Sent(vm.name, id, sentMs, -1, "none"));
          client.send(
              "POST",
              "/act/x",
              "X-Zinniaspan-Attempt-Id: " + id + "\r\nAuthorization: Bearer key-1\r\n"
                  + "X-Zinniaspan-Deadline-Ms: 20000\r\n",
              "order");
          Kit.Response answer = client.read();
          long tookMs = Kit.nowMs() - sentMs;
          results.removeIf(sent -> sent.id().equals(id));
          results.add(new Sent(vm.name, id, sentMs, sentMs + tookMs, "" + answer.status()));
          record.line("client of " + vm.name + " got " + answer.status() + " for " + id + " after "
              + tookMs + " ms");
          Kit.sleep(500 - tookMs);
          if (answer.header("Connection").contains("close")) {
            break;
          }
        }
      } catch (IOException e) {
        record.line("client of " + vm.name + " lost its connection: " + e);
        Kit.sleep(250);
      }
    }
  }

  private static int judge(
      Kit.Record record, List<Kit.Vm> vms, ConcurrentLinkedQueue<Sent> ordinary) {
    boolean broken = false;
    long endMs = Kit.nowMs();
    for (Kit.Vm vm : vms) {
      int unanswered = 0;
      int late = 0;
      int all = 0;
      long longestMs = 0;
      for (Sent sent : ordinary) {
        if (!sent.vm().equals(vm.name)) {
          continue;
        }
        all++;
        long tookMs = (sent.answeredMs() < 0 ? endMs : sent.answeredMs()) - sent.sentMs();
        longestMs = Math.max(longestMs, tookMs);
        unanswered += tookMs > TIMEOUT_MS ? 1 : 0;
        late += tookMs > TIMEOUT_MS + ALLOWED_BEYOND_MS ? 1 : 0;
      }
      record.line(vm.name + ": " + all + " plain requests, " + unanswered
          + " unanswered at their route's timeout of " + TIMEOUT_MS + " ms, " + late
          + " of them without an answer " + ALLOWED_BEYOND_MS
          + " ms later; the longest wait was " + longestMs + " ms; process "
          + (vm.process.isAlive() ? "alive" : "ended by itself with " + vm.process.exitValue()));
      broken |= late >= FEWEST && 2 * late > unanswered;
    }
    return broken ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
  }
}
