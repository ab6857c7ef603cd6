package kit3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A route of resumable streams is split between two services, and a new configuration shifts its
 * weights. Then one VM is killed, and the clients take their streams up at the other one.
 */
final class SplitResume {

  private static final String ZONE = "brest-quai";
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final String ROUTE = "refonte-site";
  private static final int STREAMS = 40;
  private static final int EVENTS = 40;
  private static final long GAP_MS = 300;
  private static final long TIMEOUT_MS = 15_000;
  private static final int CLIENT_RETRIES = 1;
  private static final long RETRY_PAUSE_MS = 100;

  /** A stream that a client reads, over several attempts. */
  private static final class Stream {
    final List<String> events = new ArrayList<>();
    String firstAttempt = "";
    boolean takenUp;
    boolean wentOn;
    boolean complete;
  }

  private final Site site;
  private final AtomicInteger attempts = new AtomicInteger();
  private final Map<Integer, Stream> streams = new ConcurrentHashMap<>();
  private final AtomicInteger newStreams = new AtomicInteger();
  private final AtomicInteger newBegun = new AtomicInteger();

  private SplitResume(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    Site.main(args[0], site -> new SplitResume(site).run());
  }

  private static String configuration(int version, int firstWeight, int secondWeight) {
    return Configuration.json(
        version,
        List.of(KEY),
        Configuration.stream(
            ROUTE,
            TIMEOUT_MS,
            new Configuration.Share("redaction-ml", firstWeight),
            new Configuration.Share("redaction-ml-2", secondWeight)));
  }

  /** Starts two servers of a service with a version of its software. */
  private void addServers(String service, String version) throws Exception {
    for (int i = 0; i < 2; i++) {
      Server server =
          new Server(site.record, site.ip(50), "i-" + version + "-" + i, service, version, 20, EVENTS, GAP_MS);
      site.store.put("servers/" + server.id, server.entry(ZONE, "ready"));
    }
  }

  private boolean run() throws Exception {
    addServers("redaction-ml", "v1");
    addServers("redaction-ml", "v2");
    addServers("redaction-ml-2", "v3");
    site.store.put("op/config", configuration(1, 90, 10));
    for (int i = 0; i < 2; i++) {
      site.addVm("vm-" + (i + 1), ZONE, new Link(site.ip(10 + i), site.store.address()));
    }
    site.startVms();
    Server.sleep(Site.CONTACT_MS);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      clients.add(start(() -> read(number)));
      Server.sleep(25);
    }
    Server.sleep(1_000);
    site.store.put("op/config", configuration(4, 10, 90));
    site.record.line("the store acknowledges version 4, with the weights 10 and 90");
    Server.sleep(Site.CONFIG_MS + 500);
    if (site.trouble) {
      site.vms.get(0).kill();
    }
    for (int i = 0; i < STREAMS; i++) {
      clients.add(start(this::beginNew));
      Server.sleep(25);
    }
    for (Thread client : clients) {
      client.join(25_000);
    }
    return judge();
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private String nextAttempt() {
    return String.format("%016x", attempts.incrementAndGet());
  }

  /** Reads a stream at the first VM; if its connection breaks, takes it up at the other one. */
  private void read(int number) {
    Stream stream = new Stream();
    streams.put(number, stream);
    stream.firstAttempt = nextAttempt();
    long endMs = Record.now() + TIMEOUT_MS;
    call(stream, site.vms.get(0), stream.firstAttempt, "", TIMEOUT_MS);
    for (int i = 0; i <= CLIENT_RETRIES && !stream.complete && !stream.events.isEmpty(); i++) {
      stream.takenUp = true;
      int lastId = lastId(stream);
      int before = stream.events.size();
      String attempt = nextAttempt();
      Client.Answer answer =
          call(
              stream,
              site.vms.get(1),
              attempt,
              "\r\nLast-Event-Id: " + lastId + "\r\nResumes: " + stream.firstAttempt,
              endMs - Record.now());
      stream.wentOn |= stream.events.size() > before;
      Server.sleep(answer.retryAfterMs() >= 0 ? answer.retryAfterMs() : RETRY_PAUSE_MS);
    }
  }

  private static int lastId(Stream stream) {
    return Integer.parseInt(stream.events.get(stream.events.size() - 1).split("\n")[0].substring(4));
  }

  private Client.Answer call(Stream stream, Vm vm, String attempt, String more, long deadlineMs) {
    site.record.line("client sends %s to %s%s", attempt, vm.name, more.replace("\r\n", ", "));
    Client.Answer answer =
        Client.call(
            vm.frontend,
            Configuration.head("POST", ROUTE, attempt, KEY)
                + "\r\nX-Zinniaspan-Model: m\r\nX-Zinniaspan-Token-Usage: 820,200"
                + "\r\nX-Zinniaspan-Prefix-Hash: 5c1e07a2:198," + stream.firstAttempt.substring(8) + ":622" + more,
            "x".repeat(100),
            deadlineMs);
    stream.events.addAll(answer.events());
    stream.complete = answer.status() == 200 && answer.whole();
    site.record.line(
        "client gets %d for %s, %d events of '%s'%s %s",
        answer.status(),
        attempt,
        answer.events().size(),
        answer.events().isEmpty() ? "" : answer.events().get(0).split("\n")[1],
        answer.whole() ? ", whole" : ", not whole",
        answer.error());
    return answer;
  }

  private void beginNew() {
    Stream stream = new Stream();
    stream.firstAttempt = nextAttempt();
    newStreams.incrementAndGet();
    call(stream, site.vms.get(1), stream.firstAttempt, "", TIMEOUT_MS);
    if (!stream.events.isEmpty()) {
      newBegun.incrementAndGet();
    }
  }

  private boolean judge() {
    long takenUp = streams.values().stream().filter(s -> s.takenUp).count();
    long wentOn = streams.values().stream().filter(s -> s.takenUp && s.wentOn).count();
    long complete = streams.values().stream().filter(s -> s.complete).count();
    site.record.say("streams %d, taken up again %d, went on %d, complete in the end %d", streams.size(), takenUp, wentOn, complete);
    site.record.say("new streams meanwhile %d, begun %d", newStreams.get(), newBegun.get());
    if (newBegun.get() * 2 < newStreams.get()) {
      throw new IllegalStateException("less than half of the new streams began");
    }
    double share = takenUp == 0 ? 1 : (double) wentOn / takenUp;
    return takenUp >= 12 && share < 0.5 * newBegun.get() / newStreams.get();
  }
}
