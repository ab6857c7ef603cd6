package org.zinniaspan.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.zinniaspan.admin.AdminHandler;
import org.zinniaspan.admin.RouterMetrics;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.ConfigurationFeed;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.FeedDependencies;
import org.zinniaspan.configuration.FeedSettings;
import org.zinniaspan.configuration.ThreadedPlatformClient;
import org.zinniaspan.dispatch.DispatchContext;
import org.zinniaspan.dispatch.LocalSlotService;
import org.zinniaspan.dispatch.SlotDecisionLog;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.gateway.ChatHandler;
import org.zinniaspan.gateway.Gateway;
import org.zinniaspan.gateway.RequestLimits;
import org.zinniaspan.gateway.ServiceCallHandler;
import org.zinniaspan.gateway.SlowCallers;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.http.HttpDocumentSource;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.http.HttpOrderClient;
import org.zinniaspan.http.HttpServiceClient;
import org.zinniaspan.http.LoadPoller;
import org.zinniaspan.http.OpenAiEngineClient;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.lifecycle.Drain;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.GossipMembership;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.NettyPeerTransport;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.PeerMessageRouter;
import org.zinniaspan.peer.proto.Envelope.BodyCase;
import org.zinniaspan.placement.DemandMeter;
import org.zinniaspan.placement.Placer;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.MedianOutputLengthEstimator;
import org.zinniaspan.runner.BlockingCallSender;
import org.zinniaspan.runner.CallRunner;
import org.zinniaspan.runner.RunnerContext;
import org.zinniaspan.runner.ServiceCallRunner;
import org.zinniaspan.stream.ChatRunner;
import org.zinniaspan.stream.ResumingChatRunner;
import org.zinniaspan.stream.RetryBudget;

/**
 * The daemon of an entry VM: creates and connects its components, and closes them on shutdown.
 *
 * <p>Example: {@code try (EntryDaemon daemon = EntryDaemon.start(settings)) {
 * daemon.awaitDrained(); }}
 */
public final class EntryDaemon implements AutoCloseable {

  private static final long TICK_DELAY_MS = 50;
  private static final int LOAD_POLL_THREADS = 2;
  private static final long PLACEMENT_POLL_PERIOD_MS = 2_000;

  private final Closer closer = new Closer();
  private final Clock clock = new SystemClock();
  private final Drain drain;
  private final RouterMetrics metrics = new RouterMetrics();
  private final ConfigurationStore configurationStore = new ConfigurationStore();
  private final PeerMessageRouter peerRouter = new PeerMessageRouter();
  private final List<Ticking> tickingComponents = new ArrayList<>();
  private final DemandMeter demandMeter = new DemandMeter(clock);
  private final EntrySettings settings;
  private Supplier<Map<String, String>> dispatcherOwners = Map::of;
  private final GossipMembership membership;
  private volatile LongSupplier platformAgeMs = () -> -1;

  private EntryDaemon(EntrySettings settings) {
    this.settings = settings;
    this.drain = new Drain(clock, settings.membership.drainGraceMs);
    Member self = new Member(settings.vmName, clock.nowMs(), settings.peerListen, false);
    this.membership =
        new GossipMembership(
            self,
            settings.zone,
            settings.membership.gossipSettings(settings.seed),
            () -> configurationStore.current().vms(),
            clock);
  }

  /**
   * Starts a daemon. It becomes ready once it has a complete configuration.
   *
   * @throws IOException if an address cannot be bound
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException {
    EntryDaemon daemon = new EntryDaemon(settings);
    try {
      daemon.build();
      return daemon;
    } catch (IOException | RuntimeException e) {
      daemon.close();
      throw e;
    }
  }

  private void build() throws IOException {
    final NettyPeerTransport transport =
        closer.add(
            new NettyPeerTransport(
                membership.self(),
                Addresses.parse(settings.peerListen),
                vm -> membership.addressOf(vm).map(Addresses::parse),
                peerRouter));
    EndpointTable table = new EndpointTable(settings.zone, this::configuration, clock);
    SlotService slots = createSlotService(table, transport);
    ChatRunner chats = createChatRunner(slots, table);
    CallRunner calls = createCallRunner(slots, transport);
    RequestLimits limits = new RequestLimits(settings.maxBodyBytes, settings.maxInFlight);
    SlowCallers slowCallers = new SlowCallers(clock);
    tickingComponents.add(slowCallers);
    Gateway gateway =
        new Gateway(
            this::configuration,
            drain,
            limits,
            slowCallers,
            new ChatHandler(this::configuration, countingDemand(chats), metrics, limits, clock),
            new ServiceCallHandler(this::configuration, calls, metrics, limits, clock));
    startConfigurationFeed(transport);
    startPlacement(table);
    closer.add(listen("--listen", settings.listen, gateway));
    closer.add(listen("--admin-listen", settings.adminListen, createAdminHandler(transport)));
    startTicking();
    EventLog.event("started").with("vm", settings.vmName).with("zone", settings.zone).info();
  }

  private static HttpListener listen(String flag, String address, HttpRequestHandler handler)
      throws IOException {
    try {
      return HttpListener.start(Addresses.parse(address), handler);
    } catch (IOException e) {
      throw new IOException(flag + ": " + e.getMessage(), e);
    }
  }

  private SlotService createSlotService(EndpointTable table, PeerLink link) {
    ExecutorService pollThreads = closeOnShutdown(Executors.newFixedThreadPool(LOAD_POLL_THREADS));
    long periodMs = settings.routing.loadPeriodMs;
    if (settings.slots.policy.equals(SlotSettings.LOCAL)) {
      LocalSlotService local = new LocalSlotService(table, newChooser(), clock);
      tickingComponents.add(new LoadPoller(table, endpoint -> true, periodMs, pollThreads, clock));
      tickingComponents.add(local);
      return local;
    }
    SlotDecisionLog log = new SlotDecisionLog();
    DispatchContext context =
        new DispatchContext(
            membership,
            table,
            newChooser(),
            this::configuration,
            clock,
            settings.slots.queueLimits(),
            log);
    DispatchComponents components = new DispatchComponents(context, link, peerRouter);
    components.registerMetrics(metrics, log);
    dispatcherOwners = components::ownersByPool;
    tickingComponents.add(
        new LoadPoller(table, components::pollsLoadOf, periodMs, pollThreads, clock));
    tickingComponents.addAll(components.ticking());
    return components.service();
  }

  private EndpointChooser newChooser() {
    return settings.routing.newChooser(settings.seed);
  }

  private ChatRunner createChatRunner(SlotService slots, EndpointTable table) {
    RoutingSettings routing = settings.routing;
    table.setEjectionEnabled(routing.isEjectionEnabled());
    return ResumingChatRunner.builder(slots, new OpenAiEngineClient())
        .configuration(this::configuration)
        .endpoints(table::endpointsOf)
        .clock(clock)
        .budget(new RetryBudget(routing.retryRatio(), routing.retriesPerSecond, clock))
        .outputLengthEstimator(new MedianOutputLengthEstimator())
        .settings(routing.streamSettings())
        .build();
  }

  private ChatRunner countingDemand(ChatRunner runner) {
    return (call, callerLeft) -> {
      demandMeter.count(call.model());
      return runner.start(call, callerLeft);
    };
  }

  private CallRunner createCallRunner(SlotService slots, PeerLink link) {
    ExecutorService threads = closeOnShutdown(Executors.newCachedThreadPool());
    RunnerContext context =
        RunnerContext.of(membership.self(), settings.zone)
            .configuration(this::configuration)
            .link(link)
            .slotsAndSender(slots, new BlockingCallSender(new HttpServiceClient(), threads))
            .clock(clock)
            .listConfirmedMs(this::lastPlatformContactMs)
            .settings(settings.calls.atMostOnceSettings(), settings.seed);
    ServiceCallRunner runner = new ServiceCallRunner(context).register(peerRouter);
    tickingComponents.add(runner);
    drain.addCondition(runner::isIdle);
    return runner;
  }

  /**
   * Returns the time of the availability zone's last contact with the platform, in milliseconds.
   *
   * <p>Without any contact so far, it lies far in the past.
   */
  private long lastPlatformContactMs() {
    long ageMs = platformAgeMs.getAsLong();
    return ageMs < 0 ? Long.MIN_VALUE / 2 : clock.nowMs() - ageMs;
  }

  private void startConfigurationFeed(PeerLink link) {
    HttpDocumentSource source = new HttpDocumentSource(Addresses.parse(settings.platform));
    ConfigurationFeed feed =
        new FeedDependencies(
                configurationStore,
                closer.add(new ThreadedPlatformClient(source)),
                membership,
                settings.zone,
                link,
                closeOnShutdown(Executors.newSingleThreadExecutor()),
                FeedSettings.withSeed(settings.seed),
                clock)
            .createFeed();
    platformAgeMs = feed::platformAgeMs;
    membership.connect(link, feed::addToHeartbeat);
    peerRouter.register(
        message -> {
          membership.handle(message);
          feed.handle(message);
        },
        BodyCase.HEARTBEAT);
    peerRouter.register(feed, BodyCase.DOCUMENT_REQUEST, BodyCase.DOCUMENT_PART);
    tickingComponents.add(membership);
    tickingComponents.add(feed);
    metrics.addGauge(
        "zinniaspan_platform_age_ms",
        "Milliseconds since the availability zone last heard the platform, -1 if never.",
        () -> (double) feed.platformAgeMs());
    metrics.addGauge(
        "zinniaspan_platform_behind",
        "Times that the platform listed a revision lower than the one in force.",
        () -> (double) feed.platformRegressions());
    drain.whenBegun().thenRun(membership::leave);
    tickingComponents.add(drain);
  }

  private void startPlacement(EndpointTable table) {
    if (!settings.placement.enabled) {
      return;
    }
    ExecutorService threads = closeOnShutdown(Executors.newSingleThreadExecutor());
    Placer placer =
        new Placer.Builder()
            .membership(membership)
            .table(table)
            .inventory(() -> configuration().inventory())
            .demand(demandMeter::perSecond)
            .client(new HttpOrderClient(), threads)
            .clock(clock)
            .limits(settings.placement.placementLimits())
            .build();
    tickingComponents.add(placer);
    tickingComponents.add(
        new LoadPoller(
            table,
            endpoint -> pollsForPlacement(endpoint),
            PLACEMENT_POLL_PERIOD_MS,
            threads,
            clock));
  }

  private boolean pollsForPlacement(Endpoint endpoint) {
    boolean managed = endpoint.memoryMb() > 0;
    return managed && membership.ownerOf(Placer.ROLE).vm().equals(settings.vmName);
  }

  private ExecutorService closeOnShutdown(ExecutorService executor) {
    closer.add(executor::shutdownNow);
    return executor;
  }

  private void startTicking() {
    Ticker ticker = new Ticker(tickingComponents);
    ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    closeOnShutdown(thread);
    thread.scheduleWithFixedDelay(
        ticker::tick, TICK_DELAY_MS, TICK_DELAY_MS, TimeUnit.MILLISECONDS);
    metrics.addLabelledGauge(
        "zinniaspan_tick_seconds",
        "Time spent in periodic work since the start.",
        "component",
        ticker::secondsByComponent);
  }

  private AdminHandler createAdminHandler(NettyPeerTransport transport) {
    metrics.addGauge(
        "zinniaspan_in_flight_requests", "Requests in flight.", () -> (double) drain.inFlight());
    metrics.addGauge(
        "zinniaspan_peer_sent_bytes", "Bytes sent to other VMs.", transport::sentBytes);
    metrics.addLabelledGauge(
        "zinniaspan_document_revision",
        "Revision in force of each document.",
        "document",
        this::revisions);
    return new AdminHandler(settings.adminToken, this::isReady, metrics, this::status, drain);
  }

  private Map<String, Double> revisions() {
    Map<String, Double> revisions = new LinkedHashMap<>();
    configuration()
        .revisions()
        .forEach((name, revision) -> revisions.put(name.label(), (double) revision));
    return revisions;
  }

  private Map<String, Object> status() {
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("vm", settings.vmName);
    status.put("zone", settings.zone);
    status.put("ready", isReady());
    status.put("inFlight", drain.inFlight());
    status.put("revisions", revisions());
    status.put("members", membership.live());
    status.put("roles", roles());
    return status;
  }

  private Map<String, String> roles() {
    Map<String, String> roles = new LinkedHashMap<>();
    roles.put("configuration", membership.ownerOf(ConfigurationFeed.ROLE).vm());
    roles.put("placement", membership.ownerOf(Placer.ROLE).vm());
    dispatcherOwners.get().forEach((pool, vm) -> roles.put("dispatch " + pool, vm));
    return roles;
  }

  private Configuration configuration() {
    return configurationStore.current();
  }

  /**
   * Returns whether the load balancer may send requests to this VM.
   *
   * <p>That is so if the configuration is complete and no graceful shutdown has begun.
   */
  public boolean isReady() {
    return configuration().isComplete() && !drain.hasBegun();
  }

  /** Starts a graceful shutdown; further calls have no effect. */
  public void drain() {
    EventLog.event("drain").with("inFlight", drain.inFlight()).info();
    drain.begin();
  }

  /** Blocks until a graceful shutdown has been started and all of its conditions are met. */
  public void awaitDrained() {
    drain.whenDrained().join();
  }

  @Override
  public void close() {
    closer.close();
  }
}
