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
 * One soak test: runs daemons as processes under continuous load, injects faults drawn from a seed,
 * and checks the guarantees of the router.
 *
 * <p>Example: {@code List<String> violations = new SoakRun(7, 60, 3, logs).run();}
 */
final class SoakRun {

  /** Number of organisations; each has one key. */
  static final int ORGANISATION_COUNT = 6;

  /** Software versions of the endpoints, which serve side by side. */
  private static final List<String> ENDPOINT_SOFTWARE = List.of("v1", "v2", "v1", "v2");

  private static final int CLIENT_COUNT = 6;
  private static final long ENDPOINT_DELAY_MS = 8;

  /** Availability zones of the daemons in turn. */
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private static final long STEP_INTERVAL_MS = 20;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long MS_PER_SECOND = 1_000;

  /**
   * Time within which service has to recover once all faults have ended; the limit set for sites.
   */
  private static final long RECOVERY_TIMEOUT_MS = 12_000;

  /** Number of calls in each check of the recovery. */
  private static final int RECOVERY_CALLS = 20;

  /** Time within which the clients have to finish their last calls. */
  private static final long CLIENT_STOP_TIMEOUT_S = 15;

  private final long seed;
  private final long faultSeconds;
  private final int daemonCount;
  private final Path logDirectory;
  private final Queue<ObservedCall> calls = new ConcurrentLinkedQueue<>();

  /**
   * Creates a soak test.
   *
   * @param seed seed of the faults and of the clients
   * @param faultSeconds how long faults are injected, in seconds
   * @param daemonCount number of daemons
   * @param logDirectory directory for the daemons' logs
   */
  SoakRun(long seed, long faultSeconds, int daemonCount, Path logDirectory) {
    this.seed = seed;
    this.faultSeconds = faultSeconds;
    this.daemonCount = daemonCount;
    this.logDirectory = logDirectory;
  }

  /** Returns the keys of the first {@code count} organisations. */
  static List<String> organisationKeys(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(number -> "key-" + number).toList();
  }

  /** Returns the number of calls made so far. */
  int callCount() {
    return calls.size();
  }

  /** Runs the soak test and returns one line for each violated guarantee. */
  List<String> run() throws IOException, InterruptedException {
    try (Closer closer = new Closer()) {
      LocalSite site = closer.add(new LocalSite(logDirectory));
      Map<String, FaultInjectingProxy> proxies = new LinkedHashMap<>();
      for (int number = 1; number <= ENDPOINT_SOFTWARE.size(); number++) {
        String id = "i-" + number;
        String zone = number % 2 == 0 ? "zone-b" : "zone-a";
        EndpointStandIn endpoint =
            site.addEndpoint(id, zone, ENDPOINT_SOFTWARE.get(number - 1), ENDPOINT_DELAY_MS);
        FaultInjectingProxy proxy =
            closer.add(new FaultInjectingProxy(Addresses.parse(endpoint.address())));
        proxies.put(id, proxy);
        site.setEndpointAddress(id, proxy.address());
      }
      site.publishConfiguration(organisationKeys(ORGANISATION_COUNT));
      List<SoakDaemon> daemons = new ArrayList<>();
      for (int number = 1; number <= daemonCount; number++) {
        String zone = ZONES.get((number - 1) % ZONES.size());
        daemons.add(closer.add(new SoakDaemon(site, "vm-" + number, zone)));
      }
      daemons.forEach(SoakDaemon::awaitReady);
      FaultInjector faults =
          new FaultInjector(site, daemons, proxies, new Random(seed), new Random(~seed));
      List<String> violations = new ArrayList<>();
      runWithFaults(daemons, faults);
      violations.addAll(checkRecovery(daemons, faults.revokedMs()));
      violations.addAll(new EndpointProtectionCheck(site, daemons).violations());
      violations.addAll(new EndpointPlaceCheck(site, daemons).violations());
      List<EndpointStandIn.Execution> executions =
          site.endpoints().values().stream().flatMap(e -> e.executions().stream()).toList();
      violations.addAll(new SoakChecks(calls, executions, faults.revokedMs()).violations());
      daemons.forEach(daemon -> violations.addAll(daemon.versionViolations()));
      return violations;
    }
  }

  private void runWithFaults(List<SoakDaemon> daemons, FaultInjector faults)
      throws IOException, InterruptedException {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<SoakClient> clients = new ArrayList<>();
    for (int number = 1; number <= CLIENT_COUNT; number++) {
      Random random = new Random(seed * CLIENT_COUNT + number);
      clients.add(newClient("c" + number, random, daemons));
    }
    clients.forEach(threads::execute);
    try {
      long startMs = System.currentTimeMillis();
      for (long nowMs = startMs;
          nowMs < startMs + faultSeconds * MS_PER_SECOND;
          nowMs = awaitNextStep()) {
        faults.step(nowMs);
        threads.execute(
            daemons.get((int) (nowMs / STEP_INTERVAL_MS % daemons.size()))::sampleVersion);
      }
      faults.endAll();
    } finally {
      clients.forEach(SoakClient::stop);
      threads.shutdown();
      if (!threads.awaitTermination(CLIENT_STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
        threads.shutdownNow();
      }
    }
  }

  private SoakClient newClient(String name, Random random, List<SoakDaemon> daemons) {
    return new SoakClient(
        "s" + seed + name,
        random,
        () -> daemons.stream().map(SoakDaemon::callerAddress).toList(),
        calls::add);
  }

  private static long awaitNextStep() {
    LockSupport.parkNanos(STEP_INTERVAL_MS * NANOS_PER_MS);
    return System.currentTimeMillis();
  }

  private List<String> checkRecovery(List<SoakDaemon> daemons, Map<String, Long> revokedMs) {
    long endMs = System.currentTimeMillis() + RECOVERY_TIMEOUT_MS;
    daemons.forEach(SoakDaemon::awaitReady);
    List<String> violations = List.of();
    int round = 0;
    do {
      round++;
      List<ObservedCall> observed = new ArrayList<>();
      SoakClient client =
          new SoakClient(
              "s" + seed + "r" + round, new Random(seed + round), List::of, observed::add);
      for (int i = 0; i < RECOVERY_CALLS; i++) {
        client.callOnOneConnection(daemons.get(i % daemons.size()).callerAddress(), 1);
      }
      calls.addAll(observed);
      observed.removeIf(call -> revokedMs.containsKey(call.organisation()));
      violations = SoakChecks.recoveryViolations(observed);
    } while (!violations.isEmpty() && System.currentTimeMillis() < endMs);
    return violations;
  }
}
