package org.zinniaspan.standins.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.codec.digest.DigestUtils;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.DispatchContext;
import org.zinniaspan.dispatch.Dispatcher;
import org.zinniaspan.dispatch.DispatcherSlotService;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.LocalSlotService;
import org.zinniaspan.dispatch.QueueLimits;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.membership.ListedMembership;
import org.zinniaspan.membership.Member;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.PeerMessageRouter;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.EstimatedFirstToken;
import org.zinniaspan.routing.LoadReport;

/** Measures slot decisions per second without I/O; run by bin/benchmark. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(
    value = 1,
    jvmArgs = {"-XX:+UseSerialGC", "-Xmx48m", "-XX:TieredStopAtLevel=1"})
public class DecisionBenchmark {

  private static final long REQUEST_TIMEOUT_MS = 30_000;
  private static final long TICK_INTERVAL_MS = 50;
  private static final long SETTLE_MS = 3_000;

  /** Number of endpoints in the availability zone. */
  @Param({"6", "60", "630"})
  public int endpoints;

  /** Number of organisations; each decision is for the next one in turn. */
  @Param({"10", "1500"})
  public int organisations;

  /**
   * Slot service under test: {@code local} or {@code dispatcher}. The dispatcher and its gateway
   * run in one process.
   */
  @Param({"local", "dispatcher"})
  public String service;

  private final SystemClock clock = new SystemClock();
  private final List<Ticking> ticking = new ArrayList<>();
  private Configuration configuration;
  private SlotService slotService;
  private long nextTickMs;
  private int requestCount;

  /** Builds the configuration, records a load report per endpoint and runs the ticks for 3 s. */
  @Setup
  public void setUp() throws InterruptedException {
    configuration = new ConfigurationGenerator().generate(endpoints, organisations);
    EndpointTable table =
        new EndpointTable(ConfigurationGenerator.ZONE, () -> configuration, clock);
    for (int i = 0; i < endpoints; i++) {
      LoadReport report =
          new LoadReport(
              clock.nowMs(), i % 8, 0, 18, 5_000, false, Set.of(ConfigurationGenerator.MODEL), 0);
      table.recordReport("engine-" + i, report);
    }
    slotService = service.equals("local") ? newLocalService(table) : newDispatcherService(table);
    for (long until = clock.nowMs() + SETTLE_MS; clock.nowMs() < until; ) {
      tick();
      TimeUnit.MILLISECONDS.sleep(TICK_INTERVAL_MS);
    }
  }

  private SlotService newLocalService(EndpointTable table) {
    LocalSlotService local = new LocalSlotService(table, new EstimatedFirstToken(1), clock);
    ticking.add(local);
    return local;
  }

  private SlotService newDispatcherService(EndpointTable table) {
    Member self = new Member("vm-1", 1, "127.0.0.1:1", false);
    Membership membership =
        new ListedMembership(self, ConfigurationGenerator.ZONE, configuration::vms);
    DispatchContext context =
        new DispatchContext(
            membership,
            table,
            new EstimatedFirstToken(1),
            () -> configuration,
            clock,
            QueueLimits.DEFAULT,
            new NoOpSlotDecisionListener());
    PeerMessageRouter router = new PeerMessageRouter();
    PeerLink link =
        (vm, message) -> router.handle(message.setFromVm("vm-1").setFromIncarnation(1).build());
    Dispatcher dispatcher = new Dispatcher(context, link);
    DispatcherSlotService gateway = new DispatcherSlotService(context, link);
    router.register(dispatcher, Dispatcher.bodyCases());
    router.register(gateway, DispatcherSlotService.bodyCases());
    ticking.add(dispatcher);
    ticking.add(gateway);
    return gateway;
  }

  private void tick() {
    long nowMs = clock.nowMs();
    if (nowMs >= nextTickMs) {
      nextTickMs = nowMs + TICK_INTERVAL_MS;
      ticking.forEach(Ticking::tick);
    }
  }

  /** Looks up an organisation by the hash of its key, acquires a slot and releases it. */
  @Benchmark
  public LeaseResponse decide() {
    tick();
    int number = requestCount++;
    String hash =
        DigestUtils.sha256Hex(ConfigurationGenerator.organisationName(number % organisations));
    Organisation organisation = configuration.organisationByKeyHash(hash).orElseThrow();
    LeaseRequest request = leaseRequest("attempt-" + number, organisation.name());
    LeaseResponse response =
        slotService
            .acquire(request, () -> {})
            .orTimeout(REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .join();
    slotService.release(request.attemptId(), SlotUse.of(SlotResult.COMPLETED));
    return response;
  }

  private LeaseRequest leaseRequest(String attemptId, String organisation) {
    long nowMs = clock.nowMs();
    return new LeaseRequest(
        attemptId,
        Pool.model(ConfigurationGenerator.MODEL),
        new ServiceClass("counter-question", 0, 1_000, 37, 0, 256, false),
        organisation,
        nowMs,
        nowMs + REQUEST_TIMEOUT_MS,
        150,
        0,
        List.of(),
        Set.of(),
        true);
  }
}
