import java.io.IOException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new version of the configuration adds a tenant whose name has letters outside Latin-1. */
final class TenantName {

  private static final String PLAIN_NAME = "Coeur d'Armor";
  private static final String FRENCH_NAME = "C\u0153ur d\u2019Armor";

  private static final List<Charset> ENCODINGS =
      List.of(
          StandardCharsets.UTF_8,
          StandardCharsets.ISO_8859_1,
          Charset.forName("windows-1252"),
          Charset.forName("ISO-8859-15"));

  private static volatile boolean running = true;
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger RUN = new AtomicInteger();
  private static final AtomicInteger WRONG = new AtomicInteger();

  /** The name of the tenant that holds the client's key, by the attempt id. */
  private static final Map<String, String> TENANT = new ConcurrentHashMap<>();

  private TenantName() {}

  public static void main(String[] args) {
    Kit.main(Path.of(args[0]), TenantName::run);
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
    store.put("op/config", configuration(7, Map.of("tenant-1", List.of("key-1"))));
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
      String added = Kit.trouble() ? FRENCH_NAME : PLAIN_NAME;
      for (Kit.Vm vm : vms) {
        Kit.spawn(() -> client(vm, "key-1", "tenant-1", record));
      }
      Kit.sleep(4_000);
      Map<String, List<String>> tenants = new LinkedHashMap<>();
      tenants.put("tenant-1", List.of("key-1"));
      tenants.put(added, List.of("key-2"));
      store.put("op/config", configuration(12, tenants));
      Kit.sleep(2_500);
      for (Kit.Vm vm : vms) {
        Kit.spawn(() -> client(vm, "key-2", added, record));
      }
      Kit.sleep(6_000);
      running = false;
      Kit.sleep(500);
      record.line(RUN + " requests were run, " + WRONG
          + " of them with another X-Zinniaspan-Tenant than the tenant that holds the key");
      return WRONG.get() > 0 ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    } finally {
      running = false;
      Kit.end(vms);
    }
  }

  private static boolean act(
      Kit.Record record, Kit.Server server, Kit.Request request, Socket socket)
      throws IOException {
    // The bytes of the header as they came: the stand-in reads one character for each byte.
    byte[] bytes =
        request.header("X-Zinniaspan-Tenant").getBytes(StandardCharsets.ISO_8859_1);
    String holder = TENANT.get(request.header("X-Zinniaspan-Attempt-Id"));
    RUN.incrementAndGet();
    if (ENCODINGS.stream().noneMatch(encoding -> new String(bytes, encoding).equals(holder))) {
      WRONG.incrementAndGet();
      record.line("server " + server.id + " got the bytes "
          + java.util.HexFormat.ofDelimiter(" ").formatHex(bytes) + " for the tenant '" + holder
          + "', which is " + java.util.HexFormat.ofDelimiter(" ")
              .formatHex(holder.getBytes(StandardCharsets.UTF_8)) + " in UTF-8");
    }
    Kit.write(socket, Kit.response("200 OK", server.signed(request), "done"));
    return true;
  }

  private static void client(Kit.Vm vm, String key, String tenant, Kit.Record record) {
    while (running) {
      String id = "act-" + NUMBER.incrementAndGet();
      TENANT.put(id, tenant);
      try (Kit.Client client = new Kit.Client(vm.front(), 5_000)) {
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
      Kit.sleep(300);
    }
  }
}
