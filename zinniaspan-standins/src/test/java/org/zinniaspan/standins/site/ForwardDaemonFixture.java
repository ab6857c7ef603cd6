package org.zinniaspan.standins.site;

import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.EngineReportSource;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.VmLimits;
import org.zinniaspan.forwarding.ZoneCosts;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.platform.HttpDialect;
import org.zinniaspan.platform.ReportClient;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.proxy.Dialect;
import org.zinniaspan.proxy.ForwardDaemon;
import org.zinniaspan.standins.fleet.FreePorts;

/**
 * A daemon in the test process, with a store stand-in and two endpoints that are raw servers; as an
 * extension, it runs during each test.
 */
final class ForwardDaemonFixture implements AutoCloseable, BeforeEachCallback, AfterEachCallback {

  private static final String CONFIGURATION =
      """
      {"version":%d,"routes":[
      {"name":"safe","host":"h.example","prefix":"/safe/","route_kind":"safe","timeout_ms":1500,
      "target_latency_ms":100,"priority":1,"service":"app","max_attempts":2},
      {"name":"unsafe","host":"h.example","prefix":"/unsafe/","route_kind":"unsafe",
      "timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"app","max_attempts":1},
      {"name":"chat","host":"h.example","prefix":"/chat/","route_kind":"streaming",
      "timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"app","max_attempts":2,
      "resumable":true,"gap_target_ms":200}],
      "services":[{"name":"app","max_connections":50}]%s}
      """;

  private static final String TENANTS =
      "[{\"name\":\"org-1\",\"api_keys\":[\"%s\"],\"priority\":1}]";

  static final String ADMIN_TOKEN = "admin-1";

  static final String STAMP = "X-Zinniaspan-Server-Stamp: s1\r\n";

  private final Closer closer = new Closer();
  StoreStandIn store;
  RawServer first;
  RawServer second;
  InetSocketAddress metricsListen;
  InetSocketAddress adminListen;
  InetSocketAddress listen;
  ForwardDaemon daemon;

  /** Whether the next tick of the daemon throws an error, as for lack of memory. */
  volatile boolean failsAtNextTick;

  /** Name of the method of the dialect that fails at its next call; empty for none. */
  final AtomicReference<String> failingDialectMethod = new AtomicReference<>("");

  private static final Map<String, String> REGIONS = Map.of("zone-a", "west", "zone-b", "east");

  private InetSocketAddress readyListen;

  /** Starts the store, two endpoints in two zones, and the daemon, and waits until it is ready. */
  void start() throws IOException {
    store = closer.add(new StoreStandIn());
    first = closer.add(new RawServer((request, socket) -> false));
    second = closer.add(new RawServer((request, socket) -> false));
    publish(3, "key-1");
    putEndpointEntry("i-1", first, "zone-a");
    putEndpointEntry("i-2", second, "zone-b");
    listen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    readyListen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    metricsListen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    adminListen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    InetSocketAddress address = Addresses.parse(store.address());
    daemon =
        closer.add(
            ForwardDaemon.start(
                new ForwardDaemon.Options(
                    listen,
                    readyListen,
                    Optional.of(metricsListen),
                    Optional.empty(),
                    List.of(),
                    address,
                    caller -> new StoreClient(caller, address, 300, REGIONS),
                    callers -> reportSource(new ReportClient(callers, 300)),
                    dialect(),
                    new ZoneCosts("zone-a", REGIONS),
                    new PlatformBounds(2_500, 2_400, 2_500, 1_200, 3_000, 0.2, 54, 10_000),
                    VmLimits.of(4_096, 330, 96 << 20),
                    ForwardDaemon.Features.NONE,
                    1,
                    Optional.of(new ForwardDaemon.AdminAccess(adminListen, ADMIN_TOKEN)))));
    awaitReady();
  }

  private Dialect dialect() {
    Dialect dialect = new HttpDialect();
    return (Dialect)
        Proxy.newProxyInstance(
            Dialect.class.getClassLoader(),
            new Class<?>[] {Dialect.class},
            (proxy, method, args) -> {
              if (failingDialectMethod.compareAndSet(method.getName(), "")) {
                throw new IllegalStateException("thrown by the test");
              }
              return method.invoke(dialect, args);
            });
  }

  private EngineReportSource reportSource(EngineReportSource reports) {
    return new EngineReportSource() {
      @Override
      public void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> callback) {
        reports.read(engine, callback);
      }

      @Override
      public void tick() {
        if (failsAtNextTick) {
          throw new OutOfMemoryError("thrown by the test");
        }
        reports.tick();
      }
    };
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    start();
  }

  @Override
  public void afterEach(ExtensionContext context) {
    close();
  }

  @Override
  public void close() {
    closer.close();
  }

  void publish(long version, String key) {
    publishTenants(version, tenants(key));
  }

  /** Returns the JSON value of a tenant that holds a key. */
  static Optional<String> tenants(String key) {
    return Optional.of(String.format(TENANTS, key));
  }

  /** Publishes a configuration with a JSON value as its tenants, or without any. */
  void publishTenants(long version, Optional<String> tenants) {
    store.put("op/config", configuration(version, tenants));
  }

  private static String configuration(long version, Optional<String> tenants) {
    return String.format(
        CONFIGURATION, version, tenants.map(json -> ",\"tenants\":" + json).orElse(""));
  }

  /** Publishes a configuration, and waits until the daemon applies it. */
  void publishTenantsAndAwait(long version, Optional<String> tenants) throws IOException {
    publishTenants(version, tenants);
    String page = "";
    while (!page.contains("zinniaspan_configuration_version " + version + ".0")) {
      try (RawClient client = new RawClient(metricsListen)) {
        client.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        page = client.readAll();
      }
    }
  }

  /** Publishes a configuration in which all routes have the home regions of a JSON value. */
  void publishWithHomes(long version, String homes) {
    store.put(
        "op/config",
        configuration(version, tenants("key-1"))
            .replace("\"host\"", "\"allowed_regions\":" + homes + ",\"host\""));
  }

  void putEndpointEntry(String id, RawServer endpoint, String zone) {
    store.put("servers/" + id, endpointEntry(endpoint, zone, 1));
  }

  static String endpointEntry(RawServer endpoint, String zone, long startedAtMs) {
    return "{\"service\":\"app\",\"address\":\""
        + endpoint.address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"born\":"
        + startedAtMs
        + "}";
  }

  private void awaitReady() throws IOException {
    String response = "";
    while (!response.startsWith("HTTP/1.1 200")) {
      try (RawClient client = new RawClient(readyListen)) {
        client.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        response = client.readAll();
      }
    }
  }

  static String request(String method, String path, String extra, String body) {
    return method
        + ' '
        + path
        + " HTTP/1.1\r\nHost: h.example\r\n"
        + "X-Zinniaspan-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
        + extra
        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
        + "\r\n"
        + body;
  }

  String call(String request) throws IOException {
    try (RawClient client = new RawClient(listen)) {
      client.send(request);
      return client.readAll();
    }
  }

  static String okResponse(String id, String body) {
    return "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: "
        + id
        + "\r\n"
        + STAMP
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  static RawServer.RequestHandler always(String response) {
    return (request, socket) -> {
      write(socket, response);
      return true;
    };
  }
}
