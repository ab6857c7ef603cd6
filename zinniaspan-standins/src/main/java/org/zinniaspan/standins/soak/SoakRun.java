package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;

/**
 * One soak: daemons as processes, callers that keep calling, faults drawn from a seed, and the
 * checks at the end.
 *
 * <p>Example: {@code List<String> broken = new SoakRun(7, 60, 3, logs).run();}
 */
final class SoakRun {

  /** Organisations, each with one key. */
  static final int ORGANISATIONS = 6;

  private static final int ENDPOINTS = 3;
  private static final int CALLERS = 6;
  private static final long ENDPOINT_DELAY_MS = 8;
  private static final long STEP_MS = 20;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long MS_PER_SECOND = 1_000;

  /** Time in which service has to be as before after all faults, in ms: the sites' bound. */
  private static final long RECOVERY_MS = 12_000;

  /** Calls by which recovery is judged. */
  private static final int RECOVERY_CALLS = 20;

  /** Longest time until the callers have seen their last answers, in seconds. */
  private static final long LAST_ANSWERS_S = 15;

  private final long seed;
  private final long seconds;
  private final int daemonCount;
  private final Path logs;
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();

  /**
   * Creates a soak.
   *
   * @param seed seed of faults and callers
   * @param seconds how long faults are injected
   * @param daemonCount number of daemons
   * @param logs directory of the daemons' logs
   */
  SoakRun(long seed, long seconds, int daemonCount, Path logs) {
    this.seed = seed;
    this.seconds = seconds;
    this.daemonCount = daemonCount;
    this.logs = logs;
  }

  /** Returns the keys of the first organisations. */
  static List<String> keys(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(number -> "key-" + number).toList();
  }

  /** Returns the number of calls that were made. */
  int callCount() {
    return calls.size();
  }

  /** Runs the soak and returns one line for each broken promise. */
  List<String> run() throws IOException, InterruptedException {
    try (Closer closer = new Closer()) {
      LocalSite site = closer.add(new LocalSite(logs));
      Map<String, FaultyLink> links = new LinkedHashMap<>();
      for (int number = 1; number <= ENDPOINTS; number++) {
        String id = "i-" + number;
        String zone = number % 2 == 0 ? "zone-b" : "zone-a";
        EndpointStandIn endpoint = site.addEndpoint(id, zone, ENDPOINT_DELAY_MS);
        FaultyLink link = closer.add(new FaultyLink(Addresses.parse(endpoint.address())));
        links.put(id, link);
        site.moveEndpoint(id, link.address());
      }
      site.publish(keys(ORGANISATIONS));
      List<SoakDaemon> daemons = new ArrayList<>();
      for (int number = 1; number <= daemonCount; number++) {
        String zone = number % 2 == 0 ? "zone-b" : "zone-a";
        daemons.add(closer.add(new SoakDaemon(site, "vm-" + number, zone)));
      }
      daemons.forEach(SoakDaemon::awaitReady);
      SoakFaults faults = new SoakFaults(site, daemons, links, new Random(seed));
      List<String> broken = new ArrayList<>();
      play(daemons, faults);
      broken.addAll(recover(daemons, faults.revokedMs()));
      List<EndpointStandIn.Run> runs =
          site.endpoints().values().stream().flatMap(e -> e.runs().stream()).toList();
      broken.addAll(new SoakChecks(calls, runs, faults.revokedMs()).broken());
      daemons.forEach(daemon -> broken.addAll(daemon.brokenVersions()));
      return broken;
    }
  }

  private void play(List<SoakDaemon> daemons, SoakFaults faults)
      throws IOException, InterruptedException {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<SoakCaller> callers = new ArrayList<>();
    for (int number = 1; number <= CALLERS; number++) {
      Random random = new Random(seed * CALLERS + number);
      callers.add(caller("c" + number, random, daemons));
    }
    callers.forEach(threads::execute);
    try {
      long startMs = System.currentTimeMillis();
      for (long now = startMs; now < startMs + seconds * MS_PER_SECOND; now = nextStep()) {
        faults.step(now);
        threads.execute(daemons.get((int) (now / STEP_MS % daemons.size()))::sampleVersion);
      }
      faults.endAll();
    } finally {
      callers.forEach(SoakCaller::stop);
      threads.shutdown();
      if (!threads.awaitTermination(LAST_ANSWERS_S, TimeUnit.SECONDS)) {
        threads.shutdownNow();
      }
    }
  }

  private SoakCaller caller(String name, Random random, List<SoakDaemon> daemons) {
    return new SoakCaller(
        "s" + seed + name,
        random,
        () -> daemons.stream().map(SoakDaemon::callers).toList(),
        calls::add);
  }

  private static long nextStep() {
    LockSupport.parkNanos(STEP_MS * NANOS_PER_MS);
    return System.currentTimeMillis();
  }

  private List<String> recover(List<SoakDaemon> daemons, Map<String, Long> revokedMs) {
    long endMs = System.currentTimeMillis() + RECOVERY_MS;
    daemons.forEach(SoakDaemon::awaitReady);
    List<String> broken = List.of();
    int round = 0;
    do {
      round++;
      List<Call> after = new ArrayList<>();
      SoakCaller caller =
          new SoakCaller("s" + seed + "r" + round, new Random(seed + round), List::of, after::add);
      for (int i = 0; i < RECOVERY_CALLS; i++) {
        caller.callSome(daemons.get(i % daemons.size()).callers(), 1);
      }
      calls.addAll(after);
      after.removeIf(call -> revokedMs.containsKey(call.organisation()));
      broken = SoakChecks.recovery(after);
    } while (!broken.isEmpty() && System.currentTimeMillis() < endMs);
    return broken;
  }
}
