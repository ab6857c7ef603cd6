package kit3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One VM loses its path to all servers, and sends its requests on through the VM that is nearest.
 * Then that one stands still, while the VM of a third zone serves.
 */
final class FrozenNeighbour {

  private static final int ROUNDS = 3;
  private static final long CUT_MS = 5_500;
  private static final long FREEZE_AFTER_MS = 2_900;
  private static final long FREEZE_MS = 4_000;
  private static final long ROUND_MS = 15_000;
  private static final long REQUEST_PAUSE_MS = 50;
  private static final String ZONE = "quimper-odet";
  private static final String NEAR_ZONE = "brest-quai";
  private static final String FAR_ZONE = "rennes-nord";
  private static final String KEY = "n2ctnfzs989anu6wsjnb";

  private record Try(Vm vm, long sentMs, boolean served) {}

  private final Site site;
  private final ConcurrentLinkedQueue<Try> tries = new ConcurrentLinkedQueue<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicBoolean done = new AtomicBoolean();

  private FrozenNeighbour(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    Site.main(args[0], site -> new FrozenNeighbour(site).run());
  }

  private boolean run() throws Exception {
    List<Server> servers = new ArrayList<>();
    List<Link> toServers = new ArrayList<>();
    Map<String, String> view = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      Server server = new Server(site.record, site.ip(50), "i-" + i, "console-agences", "v1", 21, 0, 0);
      servers.add(server);
      site.store.put("servers/" + server.id, server.entry(i < 2 ? NEAR_ZONE : FAR_ZONE, "ready"));
      Link link = new Link(site.ip(60), server.address());
      toServers.add(link);
      view.put(server.address(), link.address());
    }
    site.store.put(
        "op/config",
        Configuration.json(
            1,
            List.of(KEY),
            Configuration.route("deploiement", "unsafe", "console-agences", 800, 1),
            Configuration.route("etat-site", "safe", "console-agences", 800, 1)));
    // Each VM has a zone of its own: those of one zone share the list, and so the addresses.
    Vm cutOff = site.addVm("vm-1", ZONE, new Link(site.ip(10), site.store.addView(site.ip(2), view)));
    Vm neighbour = site.addVm("vm-2", NEAR_ZONE, new Link(site.ip(11), site.store.address()));
    Vm other = site.addVm("vm-3", FAR_ZONE, new Link(site.ip(12), site.store.address()));
    site.startVms();
    Server.sleep(Site.CONTACT_MS);
    for (Vm vm : List.of(cutOff, neighbour, other)) {
      Listener.start(() -> send(vm));
    }
    Server.sleep(3_000);
    boolean broken = false;
    for (int round = 0; round < ROUNDS; round++) {
      long startMs = Record.now();
      if (site.trouble) {
        toServers.forEach(Link::refuse);
        site.record.line("vm-1 is cut off from all servers");
      }
      sleepUntil(startMs + FREEZE_AFTER_MS);
      if (site.trouble) {
        neighbour.signal("STOP");
      }
      sleepUntil(startMs + CUT_MS);
      if (site.trouble) {
        for (Link link : toServers) {
          link.accept();
        }
        site.record.line("vm-1 reaches the servers again");
      }
      sleepUntil(startMs + FREEZE_AFTER_MS + FREEZE_MS);
      if (site.trouble) {
        neighbour.signal("CONT");
      }
      sleepUntil(startMs + ROUND_MS);
      broken |= judge(cutOff, other, startMs + Site.CONTACT_MS, startMs + CUT_MS);
    }
    done.set(true);
    return broken;
  }

  private void send(Vm vm) {
    while (!done.get()) {
      String attempt = String.format("%016x", attempts.incrementAndGet());
      boolean unsafe = attempts.get() % 2 == 0;
      long sentMs = Record.now();
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
            tries.add(new Try(vm, sentMs, answer.status() == 200 && answer.whole()));
            site.record.line("client gets %d for %s from %s %s", answer.status(), attempt, vm.name, answer.error());
          });
      Server.sleep(REQUEST_PAUSE_MS);
    }
  }

  /** Checks the first tries of a span in which one VM was cut off. */
  private boolean judge(Vm cutOff, Vm other, long fromMs, long untilMs) {
    long[] there = count(cutOff, fromMs, untilMs);
    long[] others = count(other, fromMs, untilMs);
    long failed = there[0] - there[1];
    site.record.say(
        "first tries at the VM that is cut off: %d, served %d; at the VM of the far zone: %d, served %d",
        there[0], there[1], others[0], others[1]);
    if (others[1] * 2 < others[0]) {
      throw new IllegalStateException("less than half of the requests were served where nothing was disturbed");
    }
    double share = (double) there[1] / there[0];
    double otherShare = (double) others[1] / others[0];
    return share < otherShare * 2 / 3 && failed > 10 + (there[0] + others[0]) / 50.0;
  }

  private long[] count(Vm vm, long fromMs, long untilMs) {
    List<Try> found =
        tries.stream().filter(t -> t.vm() == vm && t.sentMs() >= fromMs && t.sentMs() < untilMs).toList();
    return new long[] {found.size(), found.stream().filter(Try::served).count()};
  }

  private static void sleepUntil(long ms) {
    Server.sleep(ms - Record.now());
  }
}
