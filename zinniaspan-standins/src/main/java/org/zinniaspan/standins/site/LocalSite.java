package org.zinniaspan.standins.site;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.FleetProcess;
import org.zinniaspan.standins.fleet.FreePorts;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * A store and endpoints in this process, and daemons in processes of their own.
 *
 * <p>Example:
 *
 * <pre>
 * try (LocalSite site = new LocalSite(logs)) {
 *   site.addEndpoint("i-1", "zone-a", 5);
 *   site.publish(List.of("key-1"));
 *   LocalSite.Daemon daemon = site.startDaemon("vm-1", "zone-a", launch);
 *   site.awaitReady(daemon);
 * }
 * </pre>
 */
public final class LocalSite implements AutoCloseable {

  /** Host name of all routes. */
  public static final String HOST = "site.example";

  /** Not 127.0.0.1, whose ports outgoing connections take at any moment. */
  static final String LOOPBACK = "127.0.0.2";

  private static final String SERVICE = "app";
  private static final int SLOTS = 32;
  private static final int MEMORY_TOKENS = 400_000;
  private static final int MOST_CONNECTIONS = 200;

  private static final String ROUTES =
      """
      [{"name":"safe","host":"site.example","prefix":"/safe/","route_kind":"safe",
      "timeout_ms":1500,"target_latency_ms":200,"priority":1,"service":"app","max_attempts":2},
      {"name":"unsafe","host":"site.example","prefix":"/unsafe/","route_kind":"unsafe",
      "timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"app","max_attempts":1},
      {"name":"chat","host":"site.example","prefix":"/chat/","route_kind":"streaming",
      "timeout_ms":4000,"target_latency_ms":500,"priority":0,"service":"app","max_attempts":2,
      "resumable":true,"gap_target_ms":200,"sticky":true},
      {"name":"open","host":"site.example","prefix":"/open/","route_kind":"safe","anonymous":true,
      "timeout_ms":1500,"target_latency_ms":200,"priority":1,"service":"app","max_attempts":2}]
      """;

  /**
   * How a daemon's process is started.
   *
   * @param javaFlags flags of the Java VM
   * @param classPath its class path
   * @param output where its output goes; absent for a file in the directory of logs
   */
  public record Launch(
      List<String> javaFlags, String classPath, Optional<ProcessBuilder.Redirect> output) {

    /** Returns a launch with the flags of a small VM and this process's class path. */
    public static Launch small() {
      return new Launch(
          LocalFleet.ENTRY_JVM_FLAGS, System.getProperty("java.class.path"), Optional.empty());
    }
  }

  /** A daemon's process, its addresses and its log. */
  public record Daemon(
      String name,
      FleetProcess process,
      InetSocketAddress callers,
      InetSocketAddress ready,
      InetSocketAddress metrics,
      Path log) {}

  private record Place(String address, String zone) {}

  private final Closer closer = new Closer();
  private final ObjectMapper json = new ObjectMapper();
  private final Path logs;
  private final StoreStandIn store = closer.add(new StoreStandIn());
  private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();
  private final Map<String, Place> places = new LinkedHashMap<>();
  private int version;

  /** Starts the store; logs of daemons go to a directory. */
  public LocalSite(Path logs) throws IOException {
    this.logs = Files.createDirectories(logs);
  }

  /** Returns the store. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns the endpoints by id. */
  public Map<String, EndpointStandIn> endpoints() {
    return endpoints;
  }

  /** Starts an endpoint and lists it. */
  public EndpointStandIn addEndpoint(String id, String zone, long delayMs) throws IOException {
    EndpointStandIn endpoint = closer.add(new EndpointStandIn(id, delayMs));
    endpoints.put(id, endpoint);
    places.put(id, new Place(endpoint.address(), zone));
    list(id, "ready");
    return endpoint;
  }

  /** Lists an endpoint at another address, such as that of a proxy before it. */
  public void moveEndpoint(String id, String address) {
    places.put(id, new Place(address, places.get(id).zone()));
    list(id, "ready");
  }

  /** Writes an endpoint's entry with a state. */
  public void list(String id, String state) {
    store.put(
        "servers/" + id,
        json.createObjectNode()
            .put("service", SERVICE)
            .put("address", places.get(id).address())
            .put("zone", places.get(id).zone())
            .put("version", "v1")
            .put("slots", SLOTS)
            .put("state", state)
            .put("born", 1)
            .toString());
  }

  /** Publishes a configuration with an organisation {@code org-KEY} for each key. */
  public void publish(List<String> keys) throws IOException {
    version++;
    List<Map<String, Object>> organisations = new ArrayList<>();
    keys.forEach(
        key ->
            organisations.add(
                Map.of("name", "org-" + key, "api_keys", List.of(key), "priority", 1)));
    store.put(
        "op/config",
        json.createObjectNode()
            .put("version", version)
            .putPOJO("tenants", organisations)
            .putPOJO("services", List.of(service()))
            .<ObjectNode>set("routes", json.readTree(ROUTES))
            .toString());
  }

  private static Map<String, Object> service() {
    return Map.of(
        "name",
        SERVICE,
        "max_connections",
        MOST_CONNECTIONS,
        "engine",
        Map.of("slots", SLOTS, "kv_capacity", MEMORY_TOKENS));
  }

  /** Starts a daemon. */
  public Daemon startDaemon(String name, String zone, Launch launch) throws IOException {
    return startDaemon(name, zone, store.address(), launch);
  }

  /** Starts a daemon that reaches the store at an address of its own. */
  public Daemon startDaemon(String name, String zone, String storeAddress, Launch launch)
      throws IOException {
    InetSocketAddress callers = FreePorts.nextAddress(LOOPBACK);
    InetSocketAddress ready = FreePorts.nextAddress(LOOPBACK);
    InetSocketAddress metrics = FreePorts.nextAddress(LOOPBACK);
    List<String> args =
        new ArrayList<>(
            List.of(
                "forward",
                "--zone",
                zone,
                "--zones",
                "{\"zone-a\":\"west\",\"zone-b\":\"east\"}",
                "--listen",
                Addresses.format(callers),
                "--ready-listen",
                Addresses.format(ready),
                "--metrics-listen",
                Addresses.format(metrics),
                "--platform",
                storeAddress,
                "--grace-s",
                "3"));
    FleetProcess process =
        closer.add(
            FleetProcess.start(
                name,
                launch.output().orElse(FleetProcess.logRedirect(logs, name)),
                launch.javaFlags(),
                launch.classPath(),
                LocalFleet.ENTRY_MAIN_CLASS,
                args));
    return new Daemon(name, process, callers, ready, metrics, logs.resolve(name + ".log"));
  }

  /** Waits until a daemon says that it is ready. */
  public static void awaitReady(Daemon daemon) {
    LocalFleet.await(
        daemon.name(), () -> LocalFleet.get(daemon.ready(), "/readyz").status() == 200);
  }

  @Override
  public void close() {
    closer.close();
  }
}
