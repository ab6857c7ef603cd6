package kit3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers leave one after the other, each a moment after the path from one VM to the store is cut.
 * The VM whose path is whole must send them nothing later than drain_ms.
 */
final class LeftServer {

  private static final int ROUNDS = 6;
  private static final long CUT_MS = 4_000;
  private static final long LEAVES_AFTER_MS = 100;
  /** How much longer than drain_ms the servers serve: a little, or some seconds. */
  private static final long[] LONGER_MS = {300, 300, 2_000, 2_000};

  private static final long ROUND_MS = 9_000;
  private static final int MAX_JITTER_MS = 1_500;
  private static final long REQUEST_PAUSE_MS = 40;
  private static final long WORK_MS = 43;
  private static final String ZONE = "brest-quai";
  private static final String KEY = "n2ctnfzs989anu6wsjnb";

  private record Sent(Vm vm, long atMs) {}

  private record Cut(Vm vm, long fromMs, long untilMs) {}

  private final Site site;
  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private final List<Cut> cuts = new ArrayList<>();
  private final Map<String, Long> leftMs = new ConcurrentHashMap<>();
  private final List<Server> servers = new ArrayList<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicBoolean done = new AtomicBoolean();

  private final Random random = new Random();

  private LeftServer(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    Site.main(args[0], site -> new LeftServer(site).run());
  }

  private Server addServer() throws Exception {
    Server server =
        new Server(
            site.record, site.ip(50), "i-" + (1000 + servers.size()), "console-agences", "v1", WORK_MS, 0, 0);
    servers.add(server);
    site.store.put("servers/" + server.id, server.entry(ZONE, "ready"));
    return server;
  }

  private boolean run() throws Exception {
    site.store.put(
        "op/config",
        Configuration.json(
            1,
            List.of(KEY),
            Configuration.route("deploiement", "unsafe", "console-agences", 800, 1),
            Configuration.route("etat-site", "safe", "console-agences", 800, 1)));
    for (int i = 0; i < 3; i++) {
      addServer();
    }
    List<Link> links = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      links.add(new Link(site.ip(10 + i), site.store.address()));
      site.addVm("vm-" + (i + 1), ZONE, links.get(i));
    }
    site.startVms();
    Server.sleep(Site.CONTACT_MS);
    for (Vm vm : site.vms) {
      Listener.start(() -> send(vm));
    }
    Server.sleep(2_000);
    for (int round = 0; round < ROUNDS; round++) {
      // The cut begins at any moment between two reads of the store.
      Server.sleep(random.nextInt(MAX_JITTER_MS));
      long startMs = Record.now();
      int cutVm = round % 2;
      if (site.trouble) {
        links.get(cutVm).cut();
        site.record.line("the path from %s to the store is cut", site.vms.get(cutVm).name);
      }
      sleepUntil(startMs + LEAVES_AFTER_MS);
      Server leaving = servers.get(round);
      addServer();
      leftMs.put(leaving.id, site.store.delete("servers/" + leaving.id));
      site.record.line("the store acknowledges that %s is gone", leaving.id);
      long endMs = leftMs.get(leaving.id) + Site.DRAIN_MS + LONGER_MS[round % LONGER_MS.length];
      Listener.start(
          () -> {
            sleepUntil(endMs);
            leaving.exit();
          });
      sleepUntil(startMs + CUT_MS);
      if (site.trouble) {
        links.get(cutVm).heal();
        cuts.add(new Cut(site.vms.get(cutVm), startMs, Record.now()));
        site.record.line("the path from %s to the store is back", site.vms.get(cutVm).name);
      }
      sleepUntil(startMs + ROUND_MS);
    }
    done.set(true);
    Server.sleep(1_500);
    return judge();
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
            answers.put(attempt, answer);
            site.record.line("client gets %d for %s %s", answer.status(), attempt, answer.error());
          });
      Server.sleep(REQUEST_PAUSE_MS);
    }
  }

  private boolean isInTouch(Vm vm, long atMs) {
    return cuts.stream()
        .noneMatch(c -> c.vm() == vm && atMs >= c.fromMs() && atMs <= c.untilMs() + Site.CONTACT_MS);
  }

  private boolean judge() {
    int late = 0;
    int lost = 0;
    int served = (int) answers.values().stream().filter(a -> a.status() == 200 && a.whole()).count();
    for (Server server : servers) {
      Long left = leftMs.get(server.id);
      for (Server.Run run : server.runs) {
        Sent request = sent.get(run.attempt());
        if (left != null
            && run.arrivedMs() > left + Site.DRAIN_MS
            && isInTouch(request.vm(), request.atMs())
            && isInTouch(request.vm(), run.arrivedMs())) {
          late++;
          Client.Answer answer = answers.get(run.attempt());
          lost += answer == null || answer.status() != 200 || !answer.whole() ? 1 : 0;
          site.record.line(
              "LATE: %s reached %s from %s %d ms after its leaving was acknowledged",
              run.attempt(), server.id, request.vm().name, run.arrivedMs() - left);
        }
      }
    }
    site.record.say("requests sent %d, served %d", sent.size(), served);
    site.record.say(
        "requests that reached a server later than drain_ms after it had left, from VMs in touch: %d, without"
            + " its answer: %d",
        late, lost);
    if (served < sent.size() / 2) {
      throw new IllegalStateException("less than half of the requests were served");
    }
    return late > 0;
  }

  private static void sleepUntil(long ms) {
    Server.sleep(ms - Record.now());
  }
}
