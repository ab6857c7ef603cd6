package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.StoreStandIn;

/** Injects faults drawn from a seed and ends each after a random duration; faults may overlap. */
final class FaultInjector {

  /** Shortest duration of a fault. */
  private static final int MIN_FAULT_MS = 300;

  /** Upper limit of the duration of most faults. */
  private static final int MAX_SHORT_FAULT_MS = 4_000;

  /**
   * Upper limit of the duration of one fault in {@value #FAULTS_PER_LONG_FAULT}: longer than keys
   * stay accepted without a confirmed configuration.
   */
  private static final int MAX_LONG_FAULT_MS = 10_000;

  private static final int FAULTS_PER_LONG_FAULT = 4;

  /** Upper limit of the time between the starts of two faults. */
  private static final int MAX_FAULT_INTERVAL_MS = 700;

  /** Upper limit of the time between two changes of what endpoints state or crash on. */
  private static final int MAX_STATEMENT_INTERVAL_MS = 4_000;

  /** Time for which an endpoint is down after a crash. */
  private static final long ENDPOINT_DOWN_MS = 1_000;

  /** Number of keys that are never revoked, so that some calls carry a valid key at any time. */
  private static final int MIN_VALID_KEYS = 3;

  /** Starts or ends a fault; may fail because a process or a connection is gone. */
  private interface FaultAction {
    void run() throws IOException;
  }

  private record ScheduledEnd(long atMs, String target, FaultAction action) {}

  private final LocalSite site;
  private final List<SoakDaemon> daemons;
  private final Map<String, FaultInjectingProxy> endpointProxies;
  private final Random random;
  private final PriorityQueue<ScheduledEnd> scheduledEnds =
      new PriorityQueue<>(Comparator.comparing(ScheduledEnd::atMs));
  private final Set<String> faultyTargets = new HashSet<>();
  private final Map<String, Long> revokedMs = new HashMap<>();
  private int validKeyCount = SoakRun.ORGANISATION_COUNT;
  private long nextFaultMs;

  /** Separate from the other choices, which seeds of earlier failures depend on. */
  private final Random statements;

  private long nextStatementMs;

  FaultInjector(
      LocalSite site,
      List<SoakDaemon> daemons,
      Map<String, FaultInjectingProxy> endpointProxies,
      Random random,
      Random statements) {
    this.statements = statements;
    this.site = site;
    this.daemons = daemons;
    this.endpointProxies = endpointProxies;
    this.random = random;
  }

  /**
   * Returns the time at which the key of each organisation was revoked, in milliseconds since the
   * epoch.
   */
  Map<String, Long> revokedMs() {
    return revokedMs;
  }

  /** Ends the faults that are due and injects the next fault if its time has come. */
  void step(long nowMs) throws IOException {
    while (!scheduledEnds.isEmpty() && scheduledEnds.peek().atMs() <= nowMs) {
      endFault(scheduledEnds.remove());
    }
    if (nowMs >= nextFaultMs) {
      nextFaultMs = nowMs + random.nextInt(MAX_FAULT_INTERVAL_MS);
      beginFault(nowMs);
    }
    if (nowMs >= nextStatementMs) {
      nextStatementMs = nowMs + statements.nextInt(MAX_STATEMENT_INTERVAL_MS);
      changeEndpointBehaviour(nowMs);
    }
  }

  /** Lets prompts crash all endpoints, or one endpoint state a request limit, for a while. */
  private void changeEndpointBehaviour(long nowMs) {
    List<EndpointStandIn> endpoints = List.copyOf(site.endpoints().values());
    if (statements.nextBoolean()) {
      Optional<String> part = Optional.of(SoakClient.CRASHING_PART);
      endpoints.forEach(endpoint -> endpoint.setCrashingPart(part, ENDPOINT_DOWN_MS));
      scheduleEnd(
          nowMs,
          statements,
          "crashing prompts",
          () -> endpoints.forEach(e -> e.setCrashingPart(Optional.empty(), ENDPOINT_DOWN_MS)));
    } else {
      EndpointStandIn endpoint = endpoints.get(statements.nextInt(endpoints.size()));
      endpoint.setRequestLimit(Optional.of(1 + 4 * statements.nextDouble()));
      scheduleEnd(
          nowMs,
          statements,
          "limit of " + endpoint.id(),
          () -> endpoint.setRequestLimit(Optional.empty()));
    }
  }

  /** Ends all active faults. */
  void endAll() throws IOException {
    while (!scheduledEnds.isEmpty()) {
      endFault(scheduledEnds.remove());
    }
  }

  private void endFault(ScheduledEnd end) throws IOException {
    faultyTargets.remove(end.target());
    end.action().run();
  }

  private void beginFault(long nowMs) throws IOException {
    switch (random.nextInt(10)) {
      case 0, 1 -> injectDaemonFault(nowMs);
      case 2 -> {
        SoakDaemon daemon = randomElement(daemons);
        injectProxyFault(daemon.storeProxy(), nowMs);
      }
      case 3 -> injectProxyFault(randomElement(List.copyOf(endpointProxies.values())), nowMs);
      case 4 -> injectEndpointFault(nowMs);
      case 5 -> injectStoreFault(nowMs);
      case 6 -> changeEndpointEntry(nowMs);
      case 7 -> partitionFromEndpoints(nowMs);
      case 8 -> restoreStore(nowMs);
      default -> publishKeys();
    }
  }

  private void injectDaemonFault(long nowMs) throws IOException {
    SoakDaemon daemon = randomElement(daemons);
    String target = "daemon " + daemons.indexOf(daemon);
    if (!faultyTargets.add(target)) {
      return;
    }
    int kind = random.nextInt(3);
    FaultAction action = kind == 0 ? daemon::kill : kind == 1 ? daemon::terminate : daemon::pause;
    action.run();
    scheduleEnd(nowMs, target, kind == 2 ? daemon::resume : daemon::restart);
  }

  /** Cuts one daemon off from all endpoints, while clients, the store and its peers reach it. */
  private void partitionFromEndpoints(long nowMs) throws IOException {
    SoakDaemon daemon = randomElement(daemons);
    daemon.setEndpointMode(
        randomElement(
            List.of(FaultInjectingProxy.Mode.PARTITION, FaultInjectingProxy.Mode.SILENT)));
    scheduleEnd(
        nowMs,
        "endpoints of daemon " + daemons.indexOf(daemon),
        () -> daemon.setEndpointMode(FaultInjectingProxy.Mode.PASS));
  }

  private void injectProxyFault(FaultInjectingProxy proxy, long nowMs) throws IOException {
    FaultInjectingProxy.Mode mode = randomElement(List.of(FaultInjectingProxy.Mode.values()));
    proxy.setMode(mode);
    scheduleEnd(nowMs, proxy.address(), () -> proxy.setMode(FaultInjectingProxy.Mode.PASS));
  }

  private void injectEndpointFault(long nowMs) {
    EndpointStandIn endpoint = randomElement(List.copyOf(site.endpoints().values()));
    // Broken streams are the only requests that clients and daemons resume.
    endpoint.setFault(
        random.nextBoolean()
            ? EndpointStandIn.Fault.CUT
            : randomElement(List.of(EndpointStandIn.Fault.values())));
    scheduleEnd(nowMs, endpoint.id(), () -> endpoint.setFault(EndpointStandIn.Fault.NONE));
  }

  private void injectStoreFault(long nowMs) {
    site.store().setMode(randomElement(List.of(StoreStandIn.Mode.values())));
    scheduleEnd(nowMs, "store", () -> site.store().setMode(StoreStandIn.Mode.UP));
  }

  /** Restores the store after a while from a copy of its present content. */
  private void restoreStore(long nowMs) {
    StoreStandIn.Copy copy = site.store().copy();
    scheduleEnd(nowMs, "content of the store", () -> site.store().restore(copy));
  }

  private void changeEndpointEntry(long nowMs) {
    String id = randomElement(List.copyOf(site.endpoints().keySet()));
    if (random.nextBoolean()) {
      site.putEndpointEntry(id, "draining");
    } else {
      site.store().delete("servers/" + id);
    }
    scheduleEnd(nowMs, "list", () -> site.putEndpointEntry(id, "ready"));
  }

  private void publishKeys() throws IOException {
    if (validKeyCount > MIN_VALID_KEYS && random.nextInt(3) == 0) {
      validKeyCount--;
    }
    site.publishConfiguration(SoakRun.organisationKeys(validKeyCount));
    long nowMs = System.currentTimeMillis();
    for (int number = validKeyCount + 1; number <= SoakRun.ORGANISATION_COUNT; number++) {
      revokedMs.putIfAbsent("org-key-" + number, nowMs);
    }
  }

  private void scheduleEnd(long nowMs, String target, FaultAction action) {
    scheduleEnd(nowMs, random, target, action);
  }

  private void scheduleEnd(long nowMs, Random source, String target, FaultAction action) {
    int maxMs = source.nextInt(FAULTS_PER_LONG_FAULT) == 0 ? MAX_LONG_FAULT_MS : MAX_SHORT_FAULT_MS;
    long durationMs = MIN_FAULT_MS + source.nextInt(maxMs - MIN_FAULT_MS);
    EventLog.event("soak-fault").with("target", target).with("lastsMs", durationMs).info();
    scheduledEnds.add(new ScheduledEnd(nowMs + durationMs, target, action));
  }

  private <T> T randomElement(List<T> elements) {
    return new ArrayList<>(elements).get(random.nextInt(elements.size()));
  }
}
