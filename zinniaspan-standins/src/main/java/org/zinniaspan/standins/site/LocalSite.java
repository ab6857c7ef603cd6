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
 * A local platform for tests and commands: the store and the endpoints run in this process, each
 * daemon in a process of its own.
 *
 * <p>Example:
 *
 * <pre>
 * try (LocalSite site = new LocalSite(logs)) {
 *   site.addEndpoint("i-1", "zone-a", 5);
 *   site.publishConfiguration(List.of("key-1"));
 *   LocalSite.DaemonProcess daemon = site.startDaemon("vm-1", "zone-a", options);
 *   LocalSite.awaitReady(daemon);
 * }
 * </pre>
 */
public final class LocalSite implements AutoCloseable {

  /** Host name that all routes of the configuration match. */
  public static final String ROUTE_HOST = "site.example";

  /** Differs from 127.0.0.1, where an outgoing connection can take a port at any time. */
  static final String LISTEN_HOST = "127.0.0.2";

  private static final String SERVICE = "app";
  private static final int DEFAULT_SLOTS = 32;
  private static final int KV_CAPACITY_TOKENS = 400_000;
  private static final int MAX_CONNECTIONS = 200;

  private static final String ROUTES_JSON =
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
   * Options for starting a daemon's process.
   *
   * @param javaFlags command-line flags of the Java VM
   * @param classPath class path of the Java VM
   * @param output destination of its standard output; empty for a file in the log directory
   * @param daemonFlags further command-line flags of the daemon
   */
  public record LaunchOptions(
      List<String> javaFlags,
      String classPath,
      Optional<ProcessBuilder.Redirect> output,
      List<String> daemonFlags) {

    /** Creates options without further flags of the daemon. */
    public LaunchOptions(
        List<String> javaFlags, String classPath, Optional<ProcessBuilder.Redirect> output) {
      this(javaFlags, classPath, output, List.of());
    }

    /** Returns options with the Java flags for a small VM and this process's class path. */
    public static LaunchOptions smallVm() {
      return new LaunchOptions(
          LocalFleet.ENTRY_JVM_FLAGS, System.getProperty("java.class.path"), Optional.empty());
    }

    /** Returns these options with further command-line flags of the daemon. */
    public LaunchOptions withDaemonFlags(String... flags) {
      return new LaunchOptions(javaFlags, classPath, output, List.of(flags));
    }
  }

  /** A started daemon: its process, its listening addresses and its log file. */
  public record DaemonProcess(
      String name,
      FleetProcess process,
      InetSocketAddress callerAddress,
      InetSocketAddress readyAddress,
      InetSocketAddress metricsAddress,
      InetSocketAddress peerAddress,
      Path logFile) {}

  private record EndpointLocation(String address, String zone) {}

  private final Closer closer = new Closer();
  private final ObjectMapper json = new ObjectMapper();
  private final Path logDirectory;
  private final StoreStandIn store = closer.add(new StoreStandIn());
  private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();
  private final Map<String, EndpointLocation> locations = new LinkedHashMap<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private int configurationVersion;
  private int maxSeeds = Integer.MAX_VALUE;
  private int slots = DEFAULT_SLOTS;

  /** Starts the store; daemons write their logs to the given directory. */
  public LocalSite(Path logDirectory) throws IOException {
    this.logDirectory = Files.createDirectories(logDirectory);
  }

  /** Returns the store. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns the endpoints by id. */
  public Map<String, EndpointStandIn> endpoints() {
    return endpoints;
  }

  /** Sets the number of slots that the endpoints state; called before they are added. */
  public void setSlots(int perEndpoint) {
    slots = perEndpoint;
  }

  /** Sets how many of the daemons that were started before a new one gets as its seeds. */
  public void setMaxSeeds(int count) {
    maxSeeds = count;
  }

  /** Starts an endpoint with the default software and registers it in the store as ready. */
  public EndpointStandIn addEndpoint(String id, String zone, long delayMs) throws IOException {
    return addEndpoint(id, zone, EndpointStandIn.DEFAULT_SOFTWARE, delayMs);
  }

  /** Starts an endpoint with a version of its software and registers it in the store as ready. */
  public EndpointStandIn addEndpoint(String id, String zone, String software, long delayMs)
      throws IOException {
    EndpointStandIn endpoint = closer.add(new EndpointStandIn(id, software, delayMs));
    endpoints.put(id, endpoint);
    locations.put(id, new EndpointLocation(endpoint.address(), zone));
    endpoint.setReturnListener(
        previousId -> {
          store.delete("servers/" + previousId);
          putEndpointEntry(id, "ready");
        });
    putEndpointEntry(id, "ready");
    return endpoint;
  }

  /** Returns the address at which an endpoint is registered. */
  public String endpointAddress(String id) {
    return locations.get(id).address();
  }

  /** Returns the availability zone in which an endpoint is registered. */
  public String endpointZone(String id) {
    return locations.get(id).zone();
  }

  /** Registers an endpoint at another address, such as that of a proxy in front of it. */
  public void setEndpointAddress(String id, String address) {
    locations.put(id, new EndpointLocation(address, locations.get(id).zone()));
    putEndpointEntry(id, "ready");
  }

  /** Adds a VM that is not started here to the seeds of the daemons that are started next. */
  public void addPeer(String address) {
    peerAddresses.add(address);
  }

  /** Writes an endpoint's entry in the store with the given state. */
  public void putEndpointEntry(String id, String state) {
    store.put(
        "servers/" + endpoints.get(id).id(),
        json.createObjectNode()
            .put("service", SERVICE)
            .put("address", locations.get(id).address())
            .put("zone", locations.get(id).zone())
            .put("version", endpoints.get(id).software())
            .put("slots", slots)
            .put("state", state)
            .put("born", 1)
            .toString());
  }

  /** Publishes the next version of the configuration, with organisation {@code org-KEY} per key. */
  public void publishConfiguration(List<String> keys) throws IOException {
    publishConfiguration(keys, List.of());
  }

  /**
   * Publishes the next version of the configuration.
   *
   * @param keys API keys, each of an organisation {@code org-KEY}
   * @param homeRegions home regions of the organisations; empty for all regions
   * @return the version
   */
  public int publishConfiguration(List<String> keys, List<String> homeRegions) throws IOException {
    configurationVersion++;
    List<Map<String, Object>> organisations = new ArrayList<>();
    keys.forEach(
        key ->
            organisations.add(
                Map.of(
                    "name",
                    "org-" + key,
                    "api_keys",
                    List.of(key),
                    "priority",
                    1,
                    "allowed_regions",
                    homeRegions)));
    store.put(
        "op/config",
        json.createObjectNode()
            .put("version", configurationVersion)
            .putPOJO("tenants", organisations)
            .putPOJO("services", List.of(serviceConfiguration()))
            .<ObjectNode>set("routes", json.readTree(ROUTES_JSON))
            .toString());
    return configurationVersion;
  }

  private Map<String, Object> serviceConfiguration() {
    return Map.of(
        "name",
        SERVICE,
        "max_connections",
        MAX_CONNECTIONS,
        "engine",
        Map.of("slots", slots, "kv_capacity", KV_CAPACITY_TOKENS));
  }

  /** Starts a daemon that connects to the store directly. */
  public DaemonProcess startDaemon(String name, String zone, LaunchOptions launch)
      throws IOException {
    return startDaemon(name, zone, store.address(), launch);
  }

  /** Starts a daemon that connects to the store at the given address, such as that of a proxy. */
  public DaemonProcess startDaemon(
      String name, String zone, String storeAddress, LaunchOptions launch) throws IOException {
    InetSocketAddress callerAddress = FreePorts.nextAddress(LISTEN_HOST);
    InetSocketAddress readyAddress = FreePorts.nextAddress(LISTEN_HOST);
    InetSocketAddress metricsAddress = FreePorts.nextAddress(LISTEN_HOST);
    InetSocketAddress peerAddress = FreePorts.nextAddress(LISTEN_HOST);
    List<String> args =
        new ArrayList<>(
            List.of(
                "forward",
                "--zone",
                zone,
                "--zones",
                "{\"zone-a\":\"west\",\"zone-b\":\"east\",\"zone-c\":\"west\"}",
                "--listen",
                Addresses.format(callerAddress),
                "--ready-listen",
                Addresses.format(readyAddress),
                "--metrics-listen",
                Addresses.format(metricsAddress),
                "--peer-listen",
                Addresses.format(peerAddress),
                "--seeds",
                String.join(
                    ",", peerAddresses.subList(0, Math.min(maxSeeds, peerAddresses.size()))),
                "--platform",
                storeAddress,
                "--grace-s",
                "3"));
    args.addAll(launch.daemonFlags());
    peerAddresses.add(Addresses.format(peerAddress));
    FleetProcess process =
        closer.add(
            FleetProcess.start(
                name,
                launch.output().orElse(FleetProcess.logRedirect(logDirectory, name)),
                launch.javaFlags(),
                launch.classPath(),
                LocalFleet.ENTRY_MAIN_CLASS,
                args));
    return new DaemonProcess(
        name,
        process,
        callerAddress,
        readyAddress,
        metricsAddress,
        peerAddress,
        logDirectory.resolve(name + ".log"));
  }

  /** Waits until the readiness check of a daemon succeeds. */
  public static void awaitReady(DaemonProcess daemon) {
    LocalFleet.await(
        daemon.name(), () -> LocalFleet.get(daemon.readyAddress(), "/readyz").status() == 200);
  }

  @Override
  public void close() {
    closer.close();
  }
}
