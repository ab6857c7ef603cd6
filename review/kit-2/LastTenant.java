import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All keys of the only tenant are taken away, with the tenant. */
final class LastTenant {

  private static final long REVOKE_MS = 5_000;

  private static volatile boolean running = true;
  private static volatile long acknowledgedMs = Long.MAX_VALUE;
  private static final AtomicInteger NUMBER = new AtomicInteger();

  /** When the client began to send each request, by its attempt id. */
  private static final Map<String, Long> SENT_MS = new ConcurrentHashMap<>();

  /** Requests that a server ran although their key was taken away, and what it got of the key. */
  private static final Set<String> RUN_LATE = ConcurrentHashMap.newKeySet();
  private static final Set<String> KEY_PASSED_ON = ConcurrentHashMap.newKeySet();

  /** Requests that a server ran although no configuration ever held their key. */
  private static final Set<String> RUN_UNKNOWN = ConcurrentHashMap.newKeySet();

  private static final String UNKNOWN_KEY = "key-3";
  private static final Set<String> SENT_UNKNOWN = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger RUN = new AtomicInteger();

  private LastTenant() {}

  public static void main(String[] args) {
    Kit.main(Path.of(args[0]), LastTenant::run);
  }

  private static String configuration(int version, Map<String, List<String>> tenants) {
    return Kit.configuration(
        version,
        List.of(Kit.route("act", "/act/", "unsafe", "app", 2_000, 1, false, false)),
        List.of(Kit.service("app", false)),
        tenants);
  }

  private static int run(Kit.Record record, Path root, Path logs) throws Exception {
    Kit.Store store = new Kit.Store(record);
    store.put("op/config", configuration(7, Map.of("tenant-1", List.of("key-1", "key-2"))));
    for (int i = 1; i <= 3; i++) {
      new Kit.Server(store, record, "a-" + i, "app", "zone-a", "v1", 6, LastTenant::act)
          .register("ready");
    }
    List<Kit.Vm> vms = Kit.startVms(root, logs, store, List.of("zone-a", "zone-a", "zone-b"));
    try {
      if (!Kit.awaitReady(vms)) {
        record.line("the daemons did not become ready");
        return Kit.EXIT_NOT_RUN;
      }
      for (Kit.Vm vm : vms) {
        Kit.spawn(() -> client(vm, "key-1", record));
        Kit.spawn(() -> client(vm, "key-2", record));
        Kit.spawn(() -> client(vm, UNKNOWN_KEY, record));
      }
      Kit.sleep(6_000);
      if (Kit.trouble()) {
        store.put("op/config", configuration(12, Map.of()));
        acknowledgedMs = Kit.nowMs();
        record.line("version 12 is acknowledged, which took key-1 and key-2 away");
      }
      Kit.sleep(REVOKE_MS + 8_000);
      running = false;
      Kit.sleep(1_000);
      record.line(RUN + " requests were run; " + RUN_LATE.size() + " of them were sent later than "
          + REVOKE_MS + " ms after the acknowledgement that took their key away; with "
          + KEY_PASSED_ON.size() + " requests the key was passed on to the server; "
          + RUN_UNKNOWN.size() + " had a key that no configuration ever held");
      boolean held = RUN_LATE.isEmpty() && KEY_PASSED_ON.isEmpty() && RUN_UNKNOWN.isEmpty();
      return held ? Kit.EXIT_HELD : Kit.EXIT_BROKEN;
    } finally {
      running = false;
      Kit.end(vms);
    }
  }

  private static boolean act(Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    String id = request.header("X-Zinniaspan-Attempt-Id");
    RUN.incrementAndGet();
    if (!SENT_UNKNOWN.contains(id) && acknowledgedMs < SENT_MS.get(id) - REVOKE_MS) {
      RUN_LATE.add(id);
    }
    if (SENT_UNKNOWN.contains(id)) {
      RUN_UNKNOWN.add(id);
    }
    if (!request.header("Authorization").isEmpty()) {
      KEY_PASSED_ON.add(id);
    }
    Kit.sleep(20);
    Kit.write(socket, Kit.response("200 OK", server.signed(request), "done"));
    return true;
  }

  private static void client(Kit.Vm vm, String key, Kit.Record record) {
    while (running) {
      String id = "act-" + NUMBER.incrementAndGet();
      try (Kit.Client client = new Kit.Client(vm.front(), 5_000)) {
        SENT_MS.put(id, acknowledgedMs == Long.MAX_VALUE ? 0 : Kit.nowMs());
        if (key.equals(UNKNOWN_KEY)) {
          SENT_UNKNOWN.add(id);
        }
        client.send(
            "POST",
            "/act/x",
            "X-Zinniaspan-Attempt-Id: " + id + "\r\nAuthorization: Bearer " + key + "\r\n"
                + "X-Zinniaspan-Deadline-Ms: 2000\r\n",
            "order");
        record.line("client of " + vm.name + " got " + client.read().status() + " for " + id
            + " with " + key);
      } catch (IOException e) {
        record.line("client of " + vm.name + " got no answer for " + id + ": " + e);
      }
      Kit.sleep(200);
    }
  }
}
