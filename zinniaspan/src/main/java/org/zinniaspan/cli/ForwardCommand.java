package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.VmLimits;
import org.zinniaspan.forwarding.ZoneCosts;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.platform.HttpDialect;
import org.zinniaspan.platform.ReportClient;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.proxy.ForwardDaemon;
import sun.misc.Signal;

/**
 * Runs the daemon that forwards requests to the endpoints of a platform.
 *
 * <p>Example: {@code zinniaspan forward --zone recife-a --listen 10.1.0.40:8227 --ready-listen
 * 10.1.0.40:8220 --platform 10.200.1.7:8223}
 */
@Parameters(commandDescription = "Run the daemon that forwards requests to a platform's endpoints.")
final class ForwardCommand implements Command {

  /** Timeout of load report requests to engines, in milliseconds. */
  private static final long REPORT_TIMEOUT_MS = 500;

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  @Parameter(names = "--zone", description = "Availability zone of this VM.")
  private String zone = "";

  @Parameter(
      names = "--zones",
      description = "Region of each availability zone, as {\"zone-a\":\"region-1\"}.")
  private String zones = "{}";

  @Parameter(names = "--listen", description = "Address to listen on for clients, host:port.")
  private String listen = "127.0.0.1:8080";

  @Parameter(
      names = "--ready-listen",
      description = "Address to listen on for readiness checks, host:port.")
  private String readyListen = "127.0.0.1:8081";

  @Parameter(
      names = "--metrics-listen",
      description = "Address to listen on for metrics scrapes, host:port; empty disables them.")
  private String metricsListen = "";

  @Parameter(
      names = "--admin-listen",
      description =
          "Address to listen on for the administration API, host:port; empty disables it.")
  private String adminListen = "";

  @Parameter(
      names = "--admin-token",
      description =
          "Token of the administration API; better given as ZINNIASPAN_ADMIN_TOKEN, which no list"
              + " of processes shows.")
  private String adminToken = "";

  @Parameter(
      names = "--peer-listen",
      description = "Address to listen on for other VMs, host:port; empty if there are none.")
  private String peerListen = "";

  @Parameter(
      names = "--seeds",
      description = "Peer addresses of a few VMs, host:port, separated by commas.")
  private String seeds = "";

  @Parameter(names = "--platform", description = "Address of the platform's store, host:port.")
  private String platform = "";

  @Parameter(
      names = "--config-ms",
      description = "Time within which a new configuration must be in force, in milliseconds.")
  private String configMs = "2500";

  @Parameter(
      names = "--revoke-ms",
      description = "Time within which a revoked API key must be refused, in milliseconds.")
  private String revokeMs = "5000";

  @Parameter(
      names = "--drain-ms",
      description =
          "Time within which a draining endpoint must receive no more requests, in milliseconds.")
  private String drainMs = "2500";

  @Parameter(
      names = "--heartbeat-ms",
      description = "Interval at which endpoints renew their entries, in milliseconds.")
  private String heartbeatMs = "1200";

  @Parameter(
      names = "--grace-s",
      description = "Maximum duration of a graceful shutdown, in seconds.")
  private String graceS = "8";

  @Parameter(
      names = "--retry-ratio",
      description = "Maximum ratio of retries to requests, over all VMs.")
  private String retryRatio = "0.2";

  @Parameter(
      names = "--retry-slack",
      description = "Retries of all VMs together that are allowed in a window besides the ratio.")
  private String retrySlack = "54";

  @Parameter(
      names = "--retry-window-s",
      description = "Length of the window over which retries are counted, in seconds.")
  private String retryWindowS = "10";

  @Parameter(
      names = "--cold-overrun",
      description = "Factor by which the requests of a second may exceed a cold endpoint's rate.")
  private String coldOverrun = "";

  @Parameter(
      names = "--cold-slack",
      description = "Requests of a second that a cold endpoint may get besides that.")
  private String coldSlack = "";

  @Parameter(
      names = "--max-file-descriptors",
      description = "File descriptors of the process; near the limit, requests are refused.")
  private int maxFileDescriptors = 4_096;

  @Parameter(
      names = "--memory-mb",
      description =
          "Memory of the process in MiB; a tenth of it may hold request bodies, but at most a"
              + " quarter of the Java heap.")
  private int memoryMb = 330;

  @Parameter(
      names = "--shared-pressure",
      description =
          "Whether VMs tell each other which requests to engines are late, so that less urgent ones"
              + " give way at all of them: on or off. Takes effect from 16 VMs.")
  private String sharedPressure = "off";

  @Parameter(
      names = "--endpoint-pace",
      description =
          "Whether requests to endpoints that start, return or recover rise step by step: on or"
              + " off.")
  private String endpointPace = "off";

  @Parameter(names = "--seed", description = "Seed of the random number generators; 0 picks one.")
  private long seed = 0;

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    List<Finding> findings = findings();
    if (!findings.isEmpty()) {
      findings.forEach(System.err::println);
      return Main.EXIT_USAGE;
    }
    try (ForwardDaemon daemon = ForwardDaemon.start(options())) {
      Signal.handle(new Signal("TERM"), signal -> daemon.shutdown());
      Signal.handle(new Signal("INT"), signal -> daemon.shutdown());
      Signal.handle(new Signal("HUP"), signal -> daemon.reload());
      return daemon.awaitShutdown() ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private ForwardDaemon.Options options() {
    InetSocketAddress store = Addresses.parse(platform);
    PlatformBounds.Parsed parsed = PlatformBounds.parse(boundSettings());
    parsed.findings().forEach(ForwardCommand::logFinding);
    return new ForwardDaemon.Options(
        Addresses.parse(listen),
        Addresses.parse(readyListen),
        metricsListen.isEmpty() ? Optional.empty() : Optional.of(Addresses.parse(metricsListen)),
        peerListen.isEmpty() ? Optional.empty() : Optional.of(Addresses.parse(peerListen)),
        seedAddresses(),
        store,
        caller -> new StoreClient(caller, store, PlatformBounds.PLATFORM_TIMEOUT_MS, regions()),
        callers -> new ReportClient(callers, REPORT_TIMEOUT_MS),
        new HttpDialect(),
        new ZoneCosts(zone, regions()),
        parsed.bounds(),
        VmLimits.of(maxFileDescriptors, memoryMb, Runtime.getRuntime().maxMemory()),
        new ForwardDaemon.Features(
            isOn("--shared-pressure", sharedPressure), isOn("--endpoint-pace", endpointPace)),
        seed == 0 ? System.nanoTime() : seed,
        adminListen.isEmpty()
            ? Optional.empty()
            : Optional.of(new ForwardDaemon.AdminAccess(Addresses.parse(adminListen), adminToken)));
  }

  /** Returns whether a part is switched on; it is off, with a finding, for any other value. */
  private static boolean isOn(String flag, String value) {
    if (!value.equals("on") && !value.equals("off")) {
      logFinding(new Finding("settings", flag, "'" + value + "' is neither on nor off; off holds"));
    }
    return value.equals("on");
  }

  private Map<String, String> boundSettings() {
    return Map.of(
        "--config-ms", configMs,
        "--revoke-ms", revokeMs,
        "--drain-ms", drainMs,
        "--heartbeat-ms", heartbeatMs,
        "--grace-s", graceS,
        "--retry-ratio", retryRatio,
        "--retry-slack", retrySlack,
        "--retry-window-s", retryWindowS,
        "--cold-overrun", coldOverrun,
        "--cold-slack", coldSlack);
  }

  /** Logs a bound that is missing or invalid; the daemon runs with its default. */
  private static void logFinding(Finding finding) {
    EventLog.event("setting-replaced")
        .with("setting", finding.path())
        .with("reason", finding.message())
        .warn();
  }

  private List<Finding> findings() {
    SettingsChecks checks = new SettingsChecks();
    checks.required("--zone", zone);
    checks.address("--listen", listen);
    checks.address("--ready-listen", readyListen);
    if (!metricsListen.isEmpty()) {
      checks.address("--metrics-listen", metricsListen);
    }
    if (!adminListen.isEmpty()) {
      checks.address("--admin-listen", adminListen);
      checks.required("--admin-token", adminToken);
    }
    if (!peerListen.isEmpty()) {
      checks.address("--peer-listen", peerListen);
    }
    checks.atLeast("--max-file-descriptors", maxFileDescriptors, 256);
    checks.atLeast("--memory-mb", memoryMb, 64);
    seedAddresses().forEach(seed -> checks.address("--seeds", seed));
    checks.address("--platform", platform);
    try {
      regions();
    } catch (IllegalArgumentException e) {
      checks.add(
          "--zones", "'" + zones + "' is not a JSON object such as {\"zone-a\":\"region-1\"}");
    }
    return checks.findings();
  }

  private List<String> seedAddresses() {
    return Arrays.stream(seeds.split(",")).map(String::trim).filter(s -> !s.isEmpty()).toList();
  }

  private Map<String, String> regions() {
    try {
      return new ObjectMapper().readValue(zones, new TypeReference<Map<String, String>>() {});
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
