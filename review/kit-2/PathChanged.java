import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's paths begin with two or more slashes, so that no route's prefix begins them. */
final class PathChanged {

  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger RUN = new AtomicInteger();
  private static final AtomicInteger CHANGED = new AtomicInteger();

  /** The target that the client sent, by the attempt id. */
  private static final Map<String, String> SENT = new ConcurrentHashMap<>();

  private PathChanged() {}

  public static void main(String[] args) {
    Kit.main(Path.of(args[0]), PathChanged::run);
  }

  private static int run(Kit.Record record, Path root, Path logs) throws Exception {
    Kit.Store store = new Kit.Store(record);
    store.put(
        "op/config",
        Kit.configuration(
            7,
            List.of(
                Kit.route("act", "/act/", "unsafe", "app", 2_000, 1, false, false),
                Kit.route("look", "/look/", "safe", "app", 2_000, 2, false, false)),
            List.of(Kit.service("app", false)),
            Map.of("tenant-1", List.of("key-1"))));
    for (int i = 1; i <= 3; i++) {
      new Kit.Server(
              store,
              record,
              "a-" + i,
              "app",
              "zone-a",
              "v1",
              6,
              (server, request, socket) -> act(record, server, request, socket))
          .register("ready");
    }
    List<Kit.Vm> vms = Kit.startVms(root, logs, store, List.of("zone-a", "zone-b"));
    try {
      if (!Kit.awaitReady(vms)) {
        record.line("the daemons did not become ready");
        return Kit.EXIT_NOT_RUN;
      }
      Kit.sleep(4_000);
      for (Kit.Vm vm : vms) {
        send(vm, record, "POST", "/act/order/17");
        send(vm, record, "GET", "/look/order/17?full=1");
        // Two slashes inside a path stay.
        send(vm, record, "POST", "/act//order/17");
        if (Kit.trouble()) {
          send(vm, record, "POST", "//shop/act/order/17");
          send(vm, record, "POST", "///act/order/17");
          send(vm, record, "GET", "//shop/look/order/17?full=1");
          send(vm, record, "DELETE", "//archive/act/order/17");
        }
      }
      record.line(RUN + " requests were run, " + CHANGED + " of them with a changed path");
      return CHANGED.get() > 0 ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    } finally {
      Kit.end(vms);
    }
  }

  private static boolean act(
      Kit.Record record, Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    String sent = SENT.get(request.header("X-Zinniaspan-Attempt-Id"));
    String got = request.method() + ' ' + request.target();
    RUN.incrementAndGet();
    if (!got.equals(sent)) {
      CHANGED.incrementAndGet();
      record.line("server " + server.id + " runs '" + got + "', the client sent '" + sent + "'");
    }
    Kit.write(socket, Kit.response("200 OK", server.signed(request), "done"));
    return true;
  }

  private static void send(Kit.Vm vm, Kit.Record record, String method, String target) {
    String id = "act-" + NUMBER.incrementAndGet();
    SENT.put(id, method + ' ' + target);
    try (Kit.Client client = new Kit.Client(vm.front(), 5_000)) {
      client.send(
          method,
          target,
          "X-Zinniaspan-Attempt-Id: " + id + "\r\nAuthorization: Bearer key-1\r\n"
              + "X-Zinniaspan-Deadline-Ms: 2000\r\n",
          method.equals("POST") ? "order" : "");
      record.line("client of " + vm.name + " got " + client.read().status() + " for " + id + ' '
          + method + ' ' + target);
    } catch (IOException e) {
      record.line("client of " + vm.name + " got no answer for " + id + ": " + e);
    }
  }
}
