package kit3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A configuration moves a route to another service while the path from one VM to the store is cut.
 * Then another VM, which has applied the change, loses its path to all servers, and sends its
 * requests on through the first one.
 */
final class StaleRelay {

  private static final int ROUNDS = 3;
  private static final long CHANGE_AFTER_MS = 200;
  private static final long CUT_OFF_AFTER_MS = 1_200;
  private static final long TROUBLE_MS = 5_000;
  private static final long ROUND_MS = 14_000;
  private static final long DOWNGRADE_MS = 250;
  private static final long REQUEST_PAUSE_MS = 50;
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final String[] SERVICES = {"console-agences", "console-agences-2"};

  private record Sent(Vm vm, long atMs) {}

  private final Site site;
  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final List<Server> servers = new ArrayList<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicBoolean done = new AtomicBoolean();
  private int version;

  private StaleRelay(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    Site.main(args[0], site -> new StaleRelay(site).run());
  }

  /** Writes the next version, by which the routes lead to a service; returns when it is acknowledged. */
  private long publish(String service) {
    version += 3;
    long atMs =
        site.store.put(
            "op/config",
            Configuration.json(
                version,
                List.of(KEY),
                Configuration.route("deploiement", "unsafe", service, 800, 1),
                Configuration.route("etat-site", "safe", service, 800, 1)));
    site.record.line("the store acknowledges version %d: the routes lead to %s", version, service);
    return atMs;
  }

  private boolean run() throws Exception {
    List<Link> toServers = new ArrayList<>();
    Map<String, String> view = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      Server server = new Server(site.record, site.ip(50), "i-" + i, SERVICES[i / 2], "v1", 21, 0, 0);
      servers.add(server);
      site.store.put("servers/" + server.id, server.entry("brest-quai", "ready"));
      Link link = new Link(site.ip(60), server.address());
      toServers.add(link);
      view.put(server.address(), link.address());
    }
    publish(SERVICES[0]);
    Link nearToStore = new Link(site.ip(11), site.store.address());
    // Each VM has a zone of its own: those of one zone share the list, and so the addresses.
    Vm cutOff =
        site.addVm("vm-1", "quimper-odet", new Link(site.ip(10), site.store.addView(site.ip(2), view)));
    Vm near = site.addVm("vm-2", "brest-quai", nearToStore);
    Vm far = site.addVm("vm-3", "rennes-nord", new Link(site.ip(12), site.store.address()));
    site.startVms();
    Server.sleep(Site.CONTACT_MS);
    for (Vm vm : List.of(cutOff, near, far)) {
      Listener.start(() -> send(vm));
    }
    Server.sleep(2_000);
    int regressed = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long startMs = Record.now();
      String before = SERVICES[round % 2];
      String after = SERVICES[(round + 1) % 2];
      if (site.trouble) {
        nearToStore.cut();
        site.record.line("the path from vm-2 to the store is cut");
      }
      sleepUntil(startMs + CHANGE_AFTER_MS);
      long acknowledgedMs = publish(after);
      sleepUntil(startMs + CUT_OFF_AFTER_MS);
      if (site.trouble) {
        toServers.forEach(Link::refuse);
        site.record.line("vm-1 is cut off from all servers");
      }
      sleepUntil(startMs + TROUBLE_MS);
      if (site.trouble) {
        nearToStore.heal();
        for (Link link : toServers) {
          link.accept();
        }
        site.record.line("both paths are back");
      }
      sleepUntil(startMs + ROUND_MS);
      regressed += judge(cutOff, before, after, acknowledgedMs, startMs + TROUBLE_MS);
    }
    done.set(true);
    return regressed > 0;
  }

  private void send(Vm vm) {
    while (!done.get()) {
      String attempt = String.format("%016x", attempts.incrementAndGet());
      boolean unsafe = attempts.get() % 2 == 0;
      sent.put(attempt, new Sent(vm, Record.now()));
      site.record.line("client sends %s (%s) to %s", attempt, unsafe ? "deploiement" : "etat-site", vm.name);
      Listener.start(
          () -> {
            Client.Answer answer =
                Client.call(
                    vm.frontend,
                    Configuration.head(
                        unsafe ? "POST" : "GET", unsafe ? "deploiement" : "etat-site", attempt, KEY),
                    unsafe ? "x".repeat(100) : "",
                    800);
            site.record.line("client gets %d for %s from %s %s", answer.status(), attempt, vm.name, answer.error());
          });
      Server.sleep(REQUEST_PAUSE_MS);
    }
  }

  /** Returns how many requests to a VM ran by the older version after it had shown the newer one. */
  private int judge(Vm vm, String before, String after, long acknowledgedMs, long untilMs) {
    long seenMs = Long.MAX_VALUE;
    for (Server server : servers) {
      for (Server.Run run : server.runs) {
        Sent request = sent.get(run.attempt());
        if (server.service.equals(after) && request.vm() == vm && run.arrivedMs() >= acknowledgedMs) {
          seenMs = Math.min(seenMs, run.arrivedMs());
        }
      }
    }
    if (seenMs == Long.MAX_VALUE) {
      throw new IllegalStateException("no server saw the change");
    }
    int regressed = 0;
    int afterBound = 0;
    for (Server server : servers) {
      for (Server.Run run : server.runs) {
        Sent request = sent.get(run.attempt());
        if (server.service.equals(before)
            && request.vm() == vm
            && request.atMs() > seenMs + DOWNGRADE_MS
            && request.atMs() < untilMs) {
          regressed++;
          afterBound += request.atMs() > acknowledgedMs + Site.CONFIG_MS ? 1 : 0;
          site.record.line(
              "REGRESSED: %s was sent to %s %d ms after the change was seen there, and ran at %s of %s",
              run.attempt(), vm.name, request.atMs() - seenMs, server.id, before);
        }
      }
    }
    site.record.say(
        "requests to vm-1 that ran at the old service later than downgrade_ms after vm-1 had shown the new one: %d, of"
            + " these sent later than config_ms after the acknowledgement: %d",
        regressed, afterBound);
    return regressed;
  }

  private static void sleepUntil(long ms) {
    Server.sleep(ms - Record.now());
  }
}
