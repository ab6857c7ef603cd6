package org.zinniaspan.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.fleet.RelayTargets;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.Catalog;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointBackoff;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EndpointEligibility;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.EngineReportSource;
import org.zinniaspan.forwarding.EngineSpeeds;
import org.zinniaspan.forwarding.Explanation;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.ReportPoller;
import org.zinniaspan.forwarding.RequestExplainer;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StreamWork;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.forwarding.TimeToFirstByteSelector;
import org.zinniaspan.forwarding.VmLimits;
import org.zinniaspan.forwarding.ZoneCosts;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.BufferBudget;
import org.zinniaspan.transport.BufferingHttpClient;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundConnections;
import org.zinniaspan.transport.InboundHandler;
import org.zinniaspan.transport.Reactor;

/** The daemon of an entry VM that forwards clients' requests to the platform's endpoints. */
public final class ForwardDaemon implements AutoCloseable {

  /** Time between two ticks, in milliseconds; a timeout takes effect at most this much late. */
  private static final long TICK_MS = 20;

  /** Time between two looks at which engines to poll, in milliseconds. */
  private static final long POLL_TICK_MS = 60;

  /** Address of a VM without a peer address, which no other VM asks. */
  private static final String LONE_VM = "none";

  private static final double MS_PER_SECOND = 1_000.0;

  private final Closer closer = new Closer();
  private final CountDownLatch shutdownDone = new CountDownLatch(1);
  private volatile boolean failed;
  private final Reactor reactor = closer.add(Reactor.start(this::onReactorFailed));
  private final Clock clock = new SystemClock();
  private final ShutdownSequence shutdown;
  private final ForwardContext context;
  private final BufferingHttpClient platformClient;
  private final ForwardServer server;
  private final EngineReportSource reportSource;
  private final ReportPoller reportPoller;
  private final FleetComponents fleet;
  private final Map<String, InboundConnections> inbound = new LinkedHashMap<>();
  private long nextPollTickMs;

  private ForwardDaemon(Options options) {
    shutdown = new ShutdownSequence(clock, options.bounds().graceMs());
    platformClient = new BufferingHttpClient(reactor, clock, options.platformAddress());
    Random random = new Random(options.seed());
    TableFreshness tableFreshness =
        new TableFreshness(
            clock, System::currentTimeMillis, options.bounds().maxConfirmationAgeMs());
    EndpointDirectory directory = new EndpointDirectory(clock);
    CatalogFollower follower =
        new CatalogFollower(
            options.catalogFactory().apply(platformClient),
            clock,
            tableFreshness,
            directory,
            options.bounds(),
            random);
    final BodyBudgets bodies = BodyBudgets.of(options.vmLimits());
    BufferBudget peerReplies = new BufferBudget(options.vmLimits().maxResponseBytes());
    EngineSpeeds speeds = new EngineSpeeds();
    StreamWork work = new StreamWork(clock);
    fleet =
        new FleetComponents(
            options.peerListen().map(Addresses::format).orElse(LONE_VM),
            options.zoneCosts().zone(),
            options.zoneCosts().regions().keySet(),
            options.seeds(),
            address ->
                new BufferingHttpClient(reactor, clock, Addresses.parse(address), peerReplies),
            follower,
            tableFreshness,
            directory,
            work,
            service -> speeds.of(service).slotMs(),
            options.bounds(),
            options.features(),
            clock,
            random);
    context =
        new ForwardContext(
            clock,
            random,
            options.dialect(),
            follower,
            tableFreshness,
            directory,
            speeds,
            new TimeToFirstByteSelector(clock, options.zoneCosts(), work, speeds::of, random),
            new AdmissionControl(
                clock,
                random,
                options.features().sharedPressure()
                    ? Optional.of(fleet.pressure())
                    : Optional.empty()),
            fleet.origins(),
            new EndpointBackoff(clock),
            fleet.endpoints().limits(),
            new EndpointReachability(clock, random, directory::size),
            fleet.endpoints().quarantine(),
            new EndpointEligibility(follower.evacuatedZones(), options.zoneCosts()),
            new RelayTargets(fleet.members(), options.zoneCosts(), clock, random),
            new EndpointConnectionPool(reactor, clock, bodies.responses()),
            options.bounds(),
            options.vmLimits(),
            bodies);
    server = new ForwardServer(context, shutdown);
    fleet.slots().whenAssigned(server::sendWaiting);
    fleet
        .slots()
        .useOnly(
            endpoint ->
                context.eligibility().admits(endpoint, HomeRegions.ALL)
                    && context.backoff().admits(endpoint)
                    && context.reachability().isReachable(endpoint.id()));
    reportSource =
        options
            .reportSourceFactory()
            .apply(
                address ->
                    new BufferingHttpClient(
                        reactor, clock, Addresses.parse(address), bodies.responses()));
    reportPoller =
        new ReportPoller(
            directory,
            reportSource,
            clock,
            options.zoneCosts(),
            fleet::observerRank,
            fleet.engineBoard()::record);
  }

  /**
   * The addresses, factories and settings of a daemon.
   *
   * @param listen address for clients
   * @param readyListen address for the load balancer's readiness checks
   * @param metricsListen address for metrics; empty serves none
   * @param peerListen address for other VMs; empty if this VM is on its own
   * @param seeds peer addresses of a few VMs, through which the others are found
   * @param platformAddress address of the platform's store
   * @param catalogFactory creates the client of the platform's store
   * @param reportSourceFactory creates the client for engines' reports, from a factory of HTTP
   *     clients by address
   * @param dialect translates the heads of messages
   * @param zoneCosts availability zone of this VM and the costs to the others
   * @param bounds time bounds and budgets of the platform
   * @param vmLimits what this VM can take on
   * @param features the parts that are switched on
   * @param seed seed of the daemon's random numbers
   * @param admin access to the administration API; empty serves none
   */
  public record Options(
      InetSocketAddress listen,
      InetSocketAddress readyListen,
      Optional<InetSocketAddress> metricsListen,
      Optional<InetSocketAddress> peerListen,
      List<String> seeds,
      InetSocketAddress platformAddress,
      Function<BufferingHttpClient, Catalog> catalogFactory,
      Function<Function<String, BufferingHttpClient>, EngineReportSource> reportSourceFactory,
      Dialect dialect,
      ZoneCosts zoneCosts,
      PlatformBounds bounds,
      VmLimits vmLimits,
      Features features,
      long seed,
      Optional<AdminAccess> admin) {}

  /**
   * Parts that settings switch on.
   *
   * @param sharedPressure whether admission heeds what other VMs admit and find late
   * @param endpointPace whether requests to endpoints that start or recover rise step by step
   */
  public record Features(boolean sharedPressure, boolean endpointPace) {

    /** All parts are off. */
    public static final Features NONE = new Features(false, false);
  }

  /**
   * Access to the administration API.
   *
   * @param listen address on which it is served
   * @param token token that callers must send
   */
  public record AdminAccess(InetSocketAddress listen, String token) {}

  /**
   * Starts a daemon: listens on its addresses and follows the platform's configuration.
   *
   * @throws IOException if an address cannot be bound
   */
  public static ForwardDaemon start(Options options) throws IOException {
    ForwardDaemon daemon = new ForwardDaemon(options);
    try {
      daemon.startServing(options);
      return daemon;
    } catch (IOException e) {
      daemon.close();
      throw e;
    }
  }

  private void startServing(Options options) throws IOException {
    reactor.runLocked(fleet::tick);
    VmLimits limits = context.vmLimits();
    listen(
        "readiness",
        options.readyListen(),
        new ReadinessHandler(this::isReady),
        limits.operators());
    if (options.metricsListen().isPresent()) {
      registerGauges();
      MetricsHandler metrics = new MetricsHandler(context.metrics());
      listen("metrics", options.metricsListen().get(), metrics, limits.operators());
    }
    if (options.admin().isPresent()) {
      AdminServer admin = new AdminServer(options.admin().get().token(), this::explain);
      listen("admin", options.admin().get().listen(), admin, limits.operators());
    }
    if (options.peerListen().isPresent()) {
      FleetServer fleetServer = fleet.server(server, limits.peers().maxBytes());
      listen("peers", options.peerListen().get(), fleetServer, limits.peers());
    }
    listen("clients", options.listen(), server, limits.clients());
    registerInboundMetrics();
    reactor.scheduleEvery(TICK_MS, this::tick);
    EventLog.event("started")
        .with("listen", options.listen())
        .with("zone", options.zoneCosts().zone())
        .info();
  }

  private void listen(
      String name,
      InetSocketAddress address,
      InboundHandler handler,
      VmLimits.ListenerLimits limits)
      throws IOException {
    InboundConnections connections =
        new InboundConnections(limits.maxConnections(), limits.maxBytes(), clock);
    inbound.put(name, connections);
    reactor.listen(
        address, () -> new InboundConnection(reactor, handler, clock, connections), connections);
  }

  private void registerInboundMetrics() {
    ForwardMetrics metrics = context.metrics();
    metrics.registerGauge(
        "zinniaspan_inbound_connections",
        "Open connections of clients, other VMs and operators.",
        reactor::inboundCount);
    metrics.registerGauge(
        "zinniaspan_inbound_held_bytes",
        "Bytes of unfinished requests and unread responses, beside large bodies.",
        () -> inbound.values().stream().mapToLong(InboundConnections::heldBytes).sum());
    metrics.registerCounter(
        "zinniaspan_inbound_connections_closed",
        "Connections closed in favour of others, as too many were open or held too many bytes.",
        "reason",
        Map.of(
            "count",
            () -> inbound.values().stream().mapToLong(InboundConnections::closedForCount).sum(),
            "memory",
            () -> inbound.values().stream().mapToLong(InboundConnections::closedForMemory).sum()));
  }

  private Explanation explain(RequestFacts facts) {
    return new RequestExplainer(
            clock,
            context.follower(),
            context.tableFreshness(),
            context.directory(),
            context.eligibility(),
            context.backoff(),
            context.limits(),
            context.reachability(),
            context.selector())
        .explain(facts);
  }

  private void registerGauges() {
    ForwardMetrics metrics = context.metrics();
    fleet.registerGauges(metrics);
    metrics.registerGauge(
        "zinniaspan_configuration_version",
        "Version of the configuration in force; -1 if there is none.",
        () -> context.follower().table().map(RoutingTable::version).orElse(-1L));
    metrics.registerGauge(
        "zinniaspan_configuration_age_seconds",
        "Age of the last confirmation of the configuration.",
        () -> context.tableFreshness().ageMs() / MS_PER_SECOND);
    metrics.registerGauge(
        "zinniaspan_endpoints", "Endpoints that are listed.", () -> context.directory().size());
    metrics.registerGauge(
        "zinniaspan_evacuated_zones",
        "Availability zones to whose endpoints nothing is sent.",
        () -> context.follower().evacuatedZones().zones().size());
    metrics.registerGauge(
        "zinniaspan_requests_in_flight",
        "Requests without a final answer.",
        () -> server.inFlight());
    metrics.registerGauge(
        "zinniaspan_log_lines_dropped",
        "Log lines that were dropped since the start because nobody read them in time.",
        EventLog::droppedLines);
    metrics.registerGauge(
        "zinniaspan_endpoints_reachable",
        "0 while this VM reaches no endpoint, so that requests are relayed through other VMs.",
        () -> context.reachability().isLost() ? 0 : 1);
    metrics.registerGauge(
        "zinniaspan_prompt_quarantines",
        "Combinations of prompt parts that are not sent, as such prompts crashed endpoints.",
        () -> context.quarantine().size());
    metrics.registerGauge(
        "zinniaspan_limited_endpoints",
        "Endpoints that state how many requests a second they take.",
        () -> context.limits().requests().size());
    metrics.registerGauge(
        "zinniaspan_rejection_limited_endpoints",
        "Endpoints that state how many requests they can reject in a second.",
        () -> context.limits().rejections().size());
    metrics.registerGauge(
        "zinniaspan_ready", "1 if this VM takes requests.", () -> isReady() ? 1 : 0);
  }

  private boolean isReady() {
    return !shutdown.isStopping()
        && context.follower().table().isPresent()
        && context.follower().isListComplete()
        && context.follower().evacuatedZones().isKnown()
        && context.tableFreshness().isFresh()
        && hasPath();
  }

  /** Returns whether this VM reaches endpoints, or another VM that may reach them. */
  private boolean hasPath() {
    return !context.reachability().isLost()
        || context.relayTargets().choose(Set.of(), HomeRegions.ALL).isPresent();
  }

  private void tick() {
    List<Runnable> parts = new ArrayList<>();
    parts.add(platformClient::tick);
    parts.add(fleet::tick);
    parts.add(context.directory()::tick);
    parts.add(context.quarantine()::tick);
    parts.add(context.crashWitness()::tick);
    parts.add(server::tick);
    long now = clock.nowMs();
    if (now >= nextPollTickMs) {
      nextPollTickMs = now + POLL_TICK_MS;
      parts.add(reportSource::tick);
      parts.add(reportPoller::tick);
      parts.add(this::pollReports);
    }
    // An exception of one part must not keep the others from running.
    parts.forEach(reactor::runLocked);
    if (shutdown.refusesNewRequests(now)) {
      server.closeIdle();
    }
    if (shutdown.isStopping() && shutdown.shouldExit(now, server.inFlight())) {
      shutdownDone.countDown();
    }
  }

  private void pollReports() {
    context
        .follower()
        .table()
        .ifPresent(table -> table.modelServices().forEach(reportPoller::poll));
  }

  /** Starts a graceful shutdown. */
  public void shutdown() {
    reactor.runLocked(
        () -> {
          shutdown.start();
          fleet.leave();
        });
  }

  /** Logs that a reload was requested; the daemon reads its flags only at the start. */
  public void reload() {
    EventLog.event("reload").with("changed", "nothing; flags are read only at the start").info();
  }

  /** Ends the process, which would live on without listening; the platform starts it again. */
  private void onReactorFailed() {
    failed = true;
    shutdownDone.countDown();
  }

  /**
   * Waits until a graceful shutdown is complete or the daemon has failed.
   *
   * @return whether the shutdown was graceful
   */
  public boolean awaitShutdown() {
    try {
      shutdownDone.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !failed;
  }

  @Override
  public void close() {
    EventLog.event("stopped").info();
    reactor.runLocked(server::closeAll);
    closer.close();
  }
}
