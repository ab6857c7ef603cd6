package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.StoreStandIn;

/** Draws faults from a seed and ends each after its time; several may overlap. */
final class SoakFaults {

  /** Shortest time of a fault, in milliseconds. */
  private static final int LEAST_MS = 300;

  /** Longest time of most faults, in milliseconds. */
  private static final int MOST_MS = 4_000;

  /** Longest time of one in {@value #LONG_ONES}, in ms: past the end of trust in keys. */
  private static final int LONG_MS = 10_000;

  private static final int LONG_ONES = 4;

  /** Longest time between the beginnings of two faults, in milliseconds. */
  private static final int MOST_PAUSE_MS = 700;

  /** Organisations that keep their keys, so that there is always somebody to serve. */
  private static final int KEPT_ORGANISATIONS = 3;

  /** A step that may fail because a process or a connection is gone. */
  private interface Step {
    void run() throws IOException;
  }

  private record End(long atMs, String target, Step step) {}

  private final LocalSite site;
  private final List<SoakDaemon> daemons;
  private final Map<String, FaultyLink> endpointLinks;
  private final Random random;
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparing(End::atMs));
  private final Set<String> harmed = new HashSet<>();
  private final Map<String, Long> revokedMs = new HashMap<>();
  private int keys = SoakRun.ORGANISATIONS;
  private long nextMs;

  SoakFaults(
      LocalSite site,
      List<SoakDaemon> daemons,
      Map<String, FaultyLink> endpointLinks,
      Random random) {
    this.site = site;
    this.daemons = daemons;
    this.endpointLinks = endpointLinks;
    this.random = random;
  }

  /** Returns when each organisation lost its key, in milliseconds since the epoch. */
  Map<String, Long> revokedMs() {
    return revokedMs;
  }

  /** Ends what is due, and begins a fault if it is time. */
  void step(long nowMs) throws IOException {
    while (!ends.isEmpty() && ends.peek().atMs() <= nowMs) {
      end(ends.remove());
    }
    if (nowMs >= nextMs) {
      nextMs = nowMs + random.nextInt(MOST_PAUSE_MS);
      begin(nowMs);
    }
  }

  /** Ends all faults. */
  void endAll() throws IOException {
    while (!ends.isEmpty()) {
      end(ends.remove());
    }
  }

  private void end(End end) throws IOException {
    harmed.remove(end.target());
    end.step().run();
  }

  private void begin(long nowMs) throws IOException {
    switch (random.nextInt(8)) {
      case 0, 1 -> harmDaemon(nowMs);
      case 2 -> {
        SoakDaemon daemon = any(daemons);
        harmLink(daemon.storeLink(), nowMs);
      }
      case 3 -> harmLink(any(List.copyOf(endpointLinks.values())), nowMs);
      case 4 -> harmEndpoint(nowMs);
      case 5 -> harmStore(nowMs);
      case 6 -> relist(nowMs);
      default -> publish();
    }
  }

  private void harmDaemon(long nowMs) throws IOException {
    SoakDaemon daemon = any(daemons);
    String target = "daemon " + daemons.indexOf(daemon);
    if (!harmed.add(target)) {
      return;
    }
    int kind = random.nextInt(3);
    Step step = kind == 0 ? daemon::kill : kind == 1 ? daemon::terminate : daemon::pause;
    step.run();
    until(nowMs, target, kind == 2 ? daemon::resume : daemon::restart);
  }

  private void harmLink(FaultyLink link, long nowMs) {
    FaultyLink.Mode mode = any(List.of(FaultyLink.Mode.values()));
    link.set(mode);
    until(nowMs, link.address(), () -> link.set(FaultyLink.Mode.PASS));
  }

  private void harmEndpoint(long nowMs) {
    EndpointStandIn endpoint = any(List.copyOf(site.endpoints().values()));
    endpoint.set(any(List.of(EndpointStandIn.Trouble.values())));
    until(nowMs, endpoint.id(), () -> endpoint.set(EndpointStandIn.Trouble.NONE));
  }

  private void harmStore(long nowMs) {
    site.store().set(any(List.of(StoreStandIn.Mode.values())));
    until(nowMs, "store", () -> site.store().set(StoreStandIn.Mode.UP));
  }

  private void relist(long nowMs) {
    String id = any(List.copyOf(site.endpoints().keySet()));
    if (random.nextBoolean()) {
      site.list(id, "draining");
    } else {
      site.store().delete("servers/" + id);
    }
    until(nowMs, "list", () -> site.list(id, "ready"));
  }

  private void publish() throws IOException {
    if (keys > KEPT_ORGANISATIONS && random.nextInt(3) == 0) {
      keys--;
    }
    site.publish(SoakRun.keys(keys));
    long nowMs = System.currentTimeMillis();
    for (int number = keys + 1; number <= SoakRun.ORGANISATIONS; number++) {
      revokedMs.putIfAbsent("org-key-" + number, nowMs);
    }
  }

  private void until(long nowMs, String target, Step step) {
    int mostMs = random.nextInt(LONG_ONES) == 0 ? LONG_MS : MOST_MS;
    long lastsMs = LEAST_MS + random.nextInt(mostMs - LEAST_MS);
    EventLog.event("soak-fault").with("target", target).with("lastsMs", lastsMs).info();
    ends.add(new End(nowMs + lastsMs, target, step));
  }

  private <T> T any(List<T> all) {
    return new ArrayList<>(all).get(random.nextInt(all.size()));
  }
}
