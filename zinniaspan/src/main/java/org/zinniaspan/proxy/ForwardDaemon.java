package org.zinniaspan.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.Catalog;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EngineReportSource;
import org.zinniaspan.forwarding.ReportPoller;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.forwarding.TimeToFirstByteSelector;
import org.zinniaspan.forwarding.ZoneCosts;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.HttpCaller;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.Reactor;

/** The process of an entry VM that forwards requests to the platform's endpoints. */
public final class ForwardDaemon implements AutoCloseable {

  /** Time between two ticks, in milliseconds; bounds how late a timeout is noticed. */
  private static final long TICK_MS = 20;

  private static final double MS_PER_SECOND = 1_000.0;

  private final Closer closer = new Closer();
  private final Reactor reactor = closer.add(Reactor.start());
  private final Clock clock = new SystemClock();
  private final StopPlan stop;
  private final ForwardContext context;
  private final HttpCaller platform;
  private final ForwardServer server;
  private final EngineReportSource reports;
  private final ReportPoller poller;
  private final CountDownLatch ended = new CountDownLatch(1);

  private ForwardDaemon(Parts parts) {
    stop = new StopPlan(clock, parts.settings().graceMs());
    platform = new HttpCaller(reactor, clock, parts.platform());
    Random random = new Random(parts.seed());
    TableFreshness trust =
        new TableFreshness(clock, System::currentTimeMillis, parts.settings().keyTrustMs());
    EndpointDirectory directory = new EndpointDirectory(clock);
    CatalogFollower follower =
        new CatalogFollower(parts.catalog().apply(platform), clock, trust, directory, random);
    context =
        new ForwardContext(
            clock,
            random,
            parts.dialect(),
            follower,
            trust,
            directory,
            new TimeToFirstByteSelector(clock, parts.zones(), random),
            new AdmissionControl(clock, random),
            new EndpointConnections(reactor, clock),
            parts.settings());
    server = new ForwardServer(context, stop);
    reports =
        parts.reports().apply(address -> new HttpCaller(reactor, clock, Addresses.parse(address)));
    poller = new ReportPoller(directory, reports, clock, parts.zones());
  }

  /**
   * What a daemon is made of.
   *
   * @param listen address for clients
   * @param readyListen address for the balancer's checks
   * @param metricsListen address for metrics, if they are served
   * @param platform address of the platform's store
   * @param catalog makes the reader of the platform's store
   * @param reports makes the reader of engines' reports
   * @param dialect translates the heads of messages
   * @param zones where this VM stands
   * @param settings settings
   * @param seed seed of all random numbers
   */
  public record Parts(
      InetSocketAddress listen,
      InetSocketAddress readyListen,
      Optional<InetSocketAddress> metricsListen,
      InetSocketAddress platform,
      Function<HttpCaller, Catalog> catalog,
      Function<Function<String, HttpCaller>, EngineReportSource> reports,
      Dialect dialect,
      ZoneCosts zones,
      ForwardSettings settings,
      long seed) {}

  /**
   * Starts to listen and to follow the platform.
   *
   * @throws IOException if an address cannot be bound
   */
  public static ForwardDaemon start(Parts parts) throws IOException {
    ForwardDaemon daemon = new ForwardDaemon(parts);
    try {
      daemon.open(parts);
      return daemon;
    } catch (IOException e) {
      daemon.close();
      throw e;
    }
  }

  private void open(Parts parts) throws IOException {
    reactor.runLocked(context.follower()::tick);
    ReadinessHandler readiness = new ReadinessHandler(this::isReady);
    reactor.listen(parts.readyListen(), () -> new InboundConnection(reactor, readiness, clock));
    if (parts.metricsListen().isPresent()) {
      registerGauges();
      MetricsHandler metrics = new MetricsHandler(context.metrics());
      reactor.listen(
          parts.metricsListen().get(), () -> new InboundConnection(reactor, metrics, clock));
    }
    reactor.listen(parts.listen(), () -> new InboundConnection(reactor, server, clock));
    reactor.every(TICK_MS, this::tick);
    EventLog.event("started")
        .with("listen", parts.listen())
        .with("zone", parts.zones().zone())
        .info();
  }

  private void registerGauges() {
    ForwardMetrics metrics = context.metrics();
    metrics.gauge(
        "zinniaspan_configuration_version",
        "Version of the configuration in force; -1 if there is none.",
        () -> context.follower().table().map(RoutingTable::version).orElse(-1L));
    metrics.gauge(
        "zinniaspan_configuration_age_seconds",
        "Age of the last confirmation of the configuration.",
        () -> context.trust().ageMs() / MS_PER_SECOND);
    metrics.gauge(
        "zinniaspan_endpoints", "Endpoints that are listed.", () -> context.directory().size());
    metrics.gauge(
        "zinniaspan_requests_in_flight",
        "Requests without a final answer.",
        () -> server.inFlight());
    metrics.gauge(
        "zinniaspan_log_lines_dropped",
        "Log lines that were dropped since the start because nobody read them in time.",
        EventLog::droppedLines);
    metrics.gauge("zinniaspan_ready", "1 if this VM takes requests.", () -> isReady() ? 1 : 0);
  }

  private boolean isReady() {
    return !stop.isStopping()
        && context.follower().table().isPresent()
        && context.follower().isListComplete()
        && context.trust().isFresh();
  }

  private void tick() {
    platform.tick();
    context.follower().tick();
    context.directory().tick();
    server.tick();
    reports.tick();
    poller.tick();
    context.follower().table().ifPresent(table -> table.modelServices().forEach(poller::poll));
    long now = clock.nowMs();
    if (stop.refusesNew(now)) {
      server.closeIdle();
    }
    if (stop.isStopping() && stop.ends(now, server.inFlight())) {
      ended.countDown();
    }
  }

  /** Begins a planned stop. */
  public void stop() {
    reactor.runLocked(stop::stop);
  }

  /** Notes that settings may have changed; those of this daemon hold from start to end. */
  public void reload() {
    EventLog.event("reload").with("changed", "nothing: flags hold until the next start").info();
  }

  /** Waits until a planned stop is over. */
  public void awaitEnd() {
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    EventLog.event("stopped").info();
    reactor.runLocked(server::closeAll);
    closer.close();
  }
}
