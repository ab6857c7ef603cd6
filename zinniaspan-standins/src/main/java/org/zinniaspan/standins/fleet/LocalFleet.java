package org.zinniaspan.standins.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.http.HttpClientExchange;
import org.zinniaspan.lifecycle.Closer;

/**
 * Runs a platform stand-in, endpoint stand-ins and entry VMs as processes on the loopback
 * interface.
 *
 * <p>Example: {@code try (LocalFleet fleet = LocalFleet.start(spec, logs)) { ... }}. Closing the
 * fleet kills all its processes.
 */
public final class LocalFleet implements AutoCloseable {

  /** API key of the default organisation, {@code local}. */
  public static final String ORGANISATION_KEY = "local-key";

  /** Bearer token of the administration API. */
  public static final String ADMIN_TOKEN = "local-admin-token";

  /** JVM flags for the daemon on a small VM; the same as in bin/zinniaspan. */
  public static final List<String> ENTRY_JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-Xms24m",
          "-Xmx48m",
          "-Xss256k",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxMetaspaceSize=48m");

  private static final List<String> STANDIN_JVM_FLAGS =
      List.of("-XX:+UseSerialGC", "-Xmx256m", "-Xss256k", "-XX:TieredStopAtLevel=1");
  private static final String STANDINS_MAIN_CLASS = "org.zinniaspan.standins.StandinsMain";

  /** Main class of the router's command line. */
  public static final String ENTRY_MAIN_CLASS = "org.zinniaspan.cli.Main";

  private static final String CLASS_PATH = System.getProperty("java.class.path");

  /** Differs from 127.0.0.1, where an outgoing connection can take a port at any time. */
  private static final String LISTEN_HOST = "127.0.0.2";

  private static final int HTTP_TIMEOUT_MS = 2_000;
  private static final long AWAIT_TIMEOUT_MS = 20_000;
  private static final long POLL_INTERVAL_MS = 20;

  /**
   * The process of an entry VM and its listening addresses.
   *
   * @param startedMs wall-clock start time, in milliseconds since the epoch
   * @param callerAddress address for callers
   * @param peerAddress address for other VMs
   * @param adminAddress address of the administration API
   */
  public record EntryProcess(
      String name,
      String zone,
      FleetProcess process,
      long startedMs,
      InetSocketAddress callerAddress,
      InetSocketAddress peerAddress,
      InetSocketAddress adminAddress) {}

  /** The process of an endpoint stand-in and its listening address. */
  public record EndpointProcess(String name, FleetProcess process, InetSocketAddress address) {}

  /**
   * An HTTP response of the administration API or of a stand-in.
   *
   * @param status HTTP status, 0 if the exchange failed
   * @param body response body, or the exception if the exchange failed
   */
  public record HttpReply(int status, String body) {}

  private final Closer closer = new Closer();
  private final ObjectMapper mapper = new ObjectMapper();
  private final FleetSpec spec;
  private final Path logDirectory;
  private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
  private final Map<String, EndpointProcess> endpoints = new LinkedHashMap<>();
  private InetSocketAddress platformAddress;
  private FleetProcess platformProcess;

  private LocalFleet(FleetSpec spec, Path logDirectory) {
    this.spec = spec;
    this.logDirectory = logDirectory;
  }

  /**
   * Starts all processes, publishes the configuration documents and waits until every entry VM is
   * ready.
   *
   * @param logDirectory directory for one log file per process
   * @throws IllegalStateException if the fleet is not ready in time; its processes are killed
   */
  public static LocalFleet start(FleetSpec spec, Path logDirectory) throws IOException {
    LocalFleet fleet = new LocalFleet(spec, logDirectory);
    try {
      fleet.startAll();
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws IOException {
    logDirectory.toFile().mkdirs();
    platformAddress = freeAddress();
    platformProcess = startStandin("platform", "platform", platformAddress, List.of());
    for (FleetSpec.EngineSpec engine : spec.engines) {
      List<String> flags = new ArrayList<>(engine.flags());
      flags.addAll(List.of("--models", String.join(",", engine.models())));
      flags.addAll(List.of("--slots", String.valueOf(spec.engineSlots)));
      startEndpoint(engine.name(), "engine", flags);
    }
    for (FleetSpec.ServiceSpec service : spec.services) {
      startEndpoint(service.name(), "service", service.flags());
    }
    await("platform", () -> get(platformAddress, "/v1/documents/none").status() != 0);
    publish("inventory", inventory());
    publish("organisations", spec.documents.getOrDefault("organisations", organisations()));
    publish("rules", spec.documents.get("rules"));
    spec.entriesByZone.forEach(this::startEntries);
    publishVms();
    awaitReady();
  }

  private void startEntries(String zone, int count) {
    for (int i = 1; i <= count; i++) {
      startEntry(zone + "-" + i, zone);
    }
  }

  /**
   * Starts an entry VM and does not wait for its readiness.
   *
   * <p>The VM is not in the published list of VMs until {@link #publishVms} is called.
   */
  public EntryProcess startEntry(String name, String zone) {
    try {
      InetSocketAddress callers = freeAddress();
      InetSocketAddress peers = freeAddress();
      InetSocketAddress admin = freeAddress();
      List<String> args =
          new ArrayList<>(
              List.of(
                  "entry",
                  "--vm-name",
                  name,
                  "--zone",
                  zone,
                  "--listen",
                  hostPort(callers),
                  "--peer-listen",
                  hostPort(peers),
                  "--admin-listen",
                  hostPort(admin),
                  "--admin-token",
                  ADMIN_TOKEN,
                  "--platform",
                  hostPort(platformAddress)));
      args.addAll(spec.entryFlags);
      long startedMs = System.currentTimeMillis();
      FleetProcess process =
          closer.add(
              FleetProcess.start(
                  name,
                  FleetProcess.logRedirect(logDirectory, name),
                  ENTRY_JVM_FLAGS,
                  CLASS_PATH,
                  ENTRY_MAIN_CLASS,
                  args));
      EntryProcess entry = new EntryProcess(name, zone, process, startedMs, callers, peers, admin);
      entries.put(name, entry);
      return entry;
    } catch (IOException e) {
      throw new IllegalStateException("entry VM " + name + " failed to start", e);
    }
  }

  private void startEndpoint(String name, String command, List<String> flags) throws IOException {
    InetSocketAddress address = freeAddress();
    FleetProcess process = startStandin(name, command, address, flags);
    endpoints.put(name, new EndpointProcess(name, process, address));
  }

  private FleetProcess startStandin(
      String name, String command, InetSocketAddress address, List<String> flags)
      throws IOException {
    List<String> args = new ArrayList<>(List.of(command, "--listen", hostPort(address)));
    args.addAll(flags);
    return closer.add(
        FleetProcess.start(
            name,
            FleetProcess.logRedirect(logDirectory, name),
            STANDIN_JVM_FLAGS,
            CLASS_PATH,
            STANDINS_MAIN_CLASS,
            args));
  }

  /** Waits until the readiness check of every running entry VM succeeds. */
  public void awaitReady() {
    for (EntryProcess entry : entries.values()) {
      if (entry.process().isAlive()) {
        await(entry.name(), () -> get(entry.adminAddress(), "/readyz").status() == 200);
      }
    }
  }

  /** Publishes the list of entry VMs whose processes are running. */
  public void publishVms() throws IOException {
    ObjectNode list = mapper.createObjectNode();
    list.put("asOfMs", System.currentTimeMillis());
    ArrayNode rows = list.putArray("vms");
    for (EntryProcess entry : entries.values()) {
      if (entry.process().isAlive()) {
        rows.addObject()
            .put("name", entry.name())
            .put("zone", entry.zone())
            .put("role", "entry")
            .put("address", hostPort(entry.peerAddress()))
            .put("state", "live")
            .put("sinceMs", entry.startedMs());
      }
    }
    publish("vms", list.toString());
  }

  /** Publishes a configuration document through the HTTP API and returns its revision. */
  public long publish(String name, String content) throws IOException {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(platformAddress, HTTP_TIMEOUT_MS, HTTP_TIMEOUT_MS)) {
      ClassicHttpResponse response =
          exchange.execute(
              ClassicRequestBuilder.put("/v1/documents/" + name)
                  .setHttpHost(host(platformAddress))
                  .setEntity(
                      new ByteArrayEntity(
                          content.getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON))
                  .build());
      return Long.parseLong(response.getFirstHeader("X-Revision").getValue());
    } catch (HttpException e) {
      throw new IOException(e);
    }
  }

  /** Returns the inventory document of this fleet as JSON. */
  public String inventory() {
    ObjectNode inventory = mapper.createObjectNode();
    ArrayNode regions = inventory.putArray("regions");
    ArrayNode zones = regions.addObject().put("name", "region-1").putArray("zones");
    spec.entriesByZone.keySet().forEach(zones::add);
    ArrayNode models = inventory.putArray("models");
    spec.engines.stream()
        .flatMap(engine -> allowedModels(engine).stream())
        .distinct()
        .forEach(model -> models.addObject().put("name", model).put("memoryMb", 1_000));
    ArrayNode rows = inventory.putArray("endpoints");
    for (FleetSpec.EngineSpec engine : spec.engines) {
      ObjectNode row = addEndpointRow(rows, engine.name(), "engine", engine.zone());
      row.put("slots", spec.engineSlots);
      row.put("memoryMb", spec.engineMemoryMb);
      allowedModels(engine).forEach(row.putArray("models")::add);
    }
    for (FleetSpec.ServiceSpec service : spec.services) {
      addEndpointRow(rows, service.name(), "service", service.zone())
          .put("service", service.service())
          .put("slots", 64);
    }
    return inventory.toString();
  }

  private List<String> allowedModels(FleetSpec.EngineSpec engine) {
    return spec.allowedModels.isEmpty() ? engine.models() : spec.allowedModels;
  }

  private ObjectNode addEndpointRow(ArrayNode rows, String name, String kind, String zone) {
    return rows.addObject()
        .put("name", name)
        .put("kind", kind)
        .put("zone", zone)
        .put("address", hostPort(endpoints.get(name).address()));
  }

  private String organisations() {
    ArrayNode rows = mapper.createArrayNode();
    rows.addObject().put("name", "local").put("keySha256", DigestUtils.sha256Hex(ORGANISATION_KEY));
    return rows.toString();
  }

  /** Returns the entry VMs by name, including those whose processes have exited. */
  public Map<String, EntryProcess> entries() {
    return entries;
  }

  /** Returns the endpoint processes by name. */
  public Map<String, EndpointProcess> endpoints() {
    return endpoints;
  }

  /** Returns the listening address of the platform stand-in. */
  public InetSocketAddress platformAddress() {
    return platformAddress;
  }

  /** Returns the process of the platform stand-in. */
  public FleetProcess platformProcess() {
    return platformProcess;
  }

  /**
   * Posts to the control path of the platform stand-in or of an endpoint stand-in.
   *
   * @param query query string, such as {@code down=true}
   */
  public HttpReply control(InetSocketAddress address, String query) {
    return send(address, ClassicRequestBuilder.post("/control?" + query));
  }

  /** Sends a GET request with the administration token; status 0 reports a failed exchange. */
  public static HttpReply get(InetSocketAddress address, String path) {
    return send(address, ClassicRequestBuilder.get(path));
  }

  private static HttpReply send(InetSocketAddress address, ClassicRequestBuilder builder) {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(address, HTTP_TIMEOUT_MS, HTTP_TIMEOUT_MS)) {
      builder.setHttpHost(host(address)).addHeader("Authorization", "Bearer " + ADMIN_TOKEN);
      ClassicHttpResponse response = exchange.execute(builder.build());
      String body = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
      return new HttpReply(response.getCode(), body);
    } catch (IOException | HttpException e) {
      return new HttpReply(0, e.toString());
    }
  }

  /**
   * Polls a condition every 20 ms until it holds.
   *
   * @param description what is awaited, for the error message
   * @throws IllegalStateException if the condition does not hold within 20 s
   */
  public static void await(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException("timed out waiting for " + description);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
    }
  }

  private static HttpHost host(InetSocketAddress address) {
    return new HttpHost(address.getHostString(), address.getPort());
  }

  private static String hostPort(InetSocketAddress address) {
    return Addresses.format(address);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    return FreePorts.nextAddress(LISTEN_HOST);
  }

  @Override
  public void close() {
    closer.close();
  }
}
