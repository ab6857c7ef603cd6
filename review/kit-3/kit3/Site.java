package kit3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment: settings and bounds of armor-relais, with few VMs. */
final class Site implements AutoCloseable {

  static final long CONTACT_MS = 3_000;
  static final long DRAIN_MS = 2_500;
  static final long CONFIG_MS = 2_500;
  static final long REVOKE_MS = 5_000;

  final Record record;
  final Store store;
  final List<Vm> vms = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path temporary = Files.createTempDirectory("case");
  private final String net;
  private final List<String> seeds = new ArrayList<>();

  Site(Path folder) throws IOException {
    record = new Record(folder.resolve("record.txt"));
    ThreadLocalRandom random = ThreadLocalRandom.current();
    net = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
    store = new Store(net + "1");
    record.line("TROUBLE=%s", trouble ? "1" : "0");
  }

  String ip(int last) {
    return net + last;
  }

  /** Creates a VM whose path to the store can be cut. */
  Vm addVm(String name, String zone, Link toStore) throws IOException {
    Map<String, String> settings = new HashMap<>();
    settings.put("zone", zone);
    settings.put(
        "zones",
        "{\"brest-quai\":\"bretagne-ouest\",\"quimper-odet\":\"bretagne-ouest\",\"rennes-nord\":\"bretagne-est\"}");
    settings.put("platform.address", toStore.address());
    settings.put("heartbeat_ms", "1200");
    settings.put("limits.max_fds", "4100");
    settings.put("limits.memory_mb", "430");
    settings.put("bounds.config_ms", Long.toString(CONFIG_MS));
    settings.put("bounds.revoke_ms", Long.toString(REVOKE_MS));
    settings.put("bounds.drain_ms", Long.toString(DRAIN_MS));
    settings.put("bounds.grace_s", "8");
    settings.put("bounds.retry_budget_ratio", "0.2");
    settings.put("bounds.retry_slack", "58");
    settings.put("bounds.budget_window_s", "10");
    Vm vm = new Vm(record, temporary, name, ip(100 + vms.size()), settings);
    vms.add(vm);
    seeds.add(vm.control);
    return vm;
  }

  /** Starts all VMs, as at the first start of the system, and waits until they are ready. */
  void startVms() throws IOException {
    for (Vm vm : vms) {
      vm.set("seeds", String.join(",", seeds.subList(0, Math.min(3, seeds.size()))));
      vm.start();
    }
    for (Vm vm : vms) {
      vm.awaitReady(30_000);
    }
  }

  Path logs() {
    return temporary;
  }

  @Override
  public void close() {
    vms.forEach(Vm::end);
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      System.out.println("logs of the VMs: " + temporary);
      return;
    }
    try (var files = Files.list(temporary)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(temporary);
    } catch (IOException e) {
      // The folder is a temporary one.
    }
  }

  /** The body of a case; returns whether the rule was broken. */
  interface Body {
    boolean run(Site site) throws Exception;
  }

  /** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void main(String folder, Body body) {
    int code = 2;
    try (Site site = new Site(Path.of(folder))) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> site.vms.forEach(Vm::end)));
      code = body.run(site) ? 1 : 0;
      site.record.say("%s", code == 1 ? "the rule was broken" : "the rule held");
    } catch (Exception e) {
      System.out.println("the case couldn't run: " + e);
    }
    System.exit(code);
  }
}
