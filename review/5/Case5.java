import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A packet with the store's list of servers is lost and sent again, while a server reports that it
 * leaves.
 */
public final class Case5 {

  private static final long DRAIN_MS = 2_500;
  private static final long CONTACT_MS = 3_000;

  /**
   * Delay of an answer of which one packet is lost: the shortest retransmission timeout, and some.
   */
  private static final long LOST_PACKET_MS = 250;

  /** Requests come in groups, as at night. */
  private static final long GROUP_INTERVAL_MS = 5_000;

  private static final int GROUP = 6;

  public static void main(String[] args) throws Exception {
    Kit.main(args, Case5::play);
  }

  private static int play(Kit.Record record, boolean trouble) throws Exception {
    Site site = new Site(record);
    AtomicLong leavingMs = new AtomicLong(Long.MAX_VALUE);
    AtomicLong lostMs = new AtomicLong(Long.MAX_VALUE);
    for (int i = 1; i <= 4; i++) {
      boolean leaves = i == 1;
      site.addServer(
          "i-app-" + i,
          Site.CONSOLE,
          (i - 1) % 3 + i / 4,
          6,
          (server, request, socket) -> {
            Kit.sleep(43);
            String body = Site.body(request.id());
            String head = server.head(request.id(), body.length());
            if (leaves && Kit.now() >= leavingMs.get()) {
              head = head.replace("\r\n\r\n", "\r\nServer-Leaving: 1\r\n\r\n");
            }
            socket.getOutputStream().write(Kit.bytes(head + body));
            return true;
          });
    }
    Site.Server leaving = site.servers.get("i-app-1");
    Runnable leave =
        () -> {
          site.putEntry(leaving, Site.CONSOLE, 0, 6, "draining");
          leavingMs.set(Kit.now());
          record.add("store accepted: i-app-1 is draining");
        };
    AtomicInteger lists = new AtomicInteger();
    AtomicLong steadyMs = new AtomicLong(Long.MAX_VALUE);
    site.store.setDelay(
        target -> {
          if (!target.startsWith("/kv-range")
              || Kit.now() < steadyMs.get()
              || lists.incrementAndGet() != 1) {
            return 4;
          }
          // The list was read already; what is stored from now on is not in it.
          lostMs.set(Kit.now());
          record.add(
              "first list read in steady state at the store%s",
              trouble ? "; a packet of its answer is lost" : "");
          Kit.spawn(
              () -> {
                Kit.sleep(60);
                leave.run();
              });
          return trouble ? LOST_PACKET_MS : 4;
        });
    site.publish(List.of(Site.KEY));
    Kit.Daemon daemon = site.startDaemon();
    steadyMs.set(Kit.now() + 10_000);
    long number = 0;
    int groupsAfter = 0;
    long nextMs = Kit.now();
    while (groupsAfter < 3 && Kit.now() < 70_000) {
      boolean quiet =
          Kit.now() > lostMs.get() - 100
              && Kit.now() < lostMs.get() + LOST_PACKET_MS + CONTACT_MS + 200;
      if (quiet || Kit.now() < nextMs) {
        Kit.sleep(20);
        continue;
      }
      nextMs = Kit.now() + GROUP_INTERVAL_MS;
      groupsAfter += leavingMs.get() < Kit.now() ? 1 : 0;
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < GROUP; i++) {
        String id = String.format("%016x", ++number);
        threads.add(
            Kit.spawn(
                () -> {
                  try (Kit.Client client = new Kit.Client(daemon.frontend)) {
                    byte[] request =
                        Kit.request(
                            "POST", "/cobranca/" + id, id, 2_000, Site.KEY, "", new byte[600]);
                    record.add("sent: POST %s; answered: %s", id, client.call(request, 2_500));
                  } catch (IOException e) {
                    record.add("%s", e);
                  }
                }));
      }
      for (Thread thread : threads) {
        thread.join();
      }
    }
    List<Site.Run> late =
        site.runs.stream()
            .filter(run -> run.server().equals("i-app-1"))
            .filter(
                run ->
                    run.atMs() > leavingMs.get() + DRAIN_MS
                        && run.atMs() > lostMs.get() + LOST_PACKET_MS + CONTACT_MS)
            .toList();
    site.recordRuns();
    record.add("requests: %d, runs: %d", number, site.runs.size());
    record.add(
        "requests that reached i-app-1 later than drain_ms after the acknowledgement, from a"
            + " machine in touch: %d",
        late.size());
    late.forEach(
        run ->
            record.add(
                "DRAIN %s at %d ms, %d ms after the acknowledgement",
                run.id(), run.atMs(), run.atMs() - leavingMs.get()));
    daemon
        .log()
        .lines()
        .filter(
            l ->
                l.contains("i-app-1")
                    && (l.contains("endpoint-draining")
                        || l.contains("endpoint-changed")
                        || l.contains("endpoint-stated")))
        .forEach(l -> record.add("log: %s", l));
    return leavingMs.get() == Long.MAX_VALUE || groupsAfter < 3 ? 2 : late.isEmpty() ? 0 : 1;
  }
}
