package org.zinniaspan.standins.cost;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/**
 * Measures the processor time of daemons of the forward path: from the start of all at once until
 * they have settled, then without requests, and then for each request.
 */
final class ForwardFleetCost {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int ENDPOINT_DELAY_MS = 1;
  private static final int SEEDS = 3;
  private static final int CLIENT_THREADS = 16;
  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final String KEY = "key-1";
  private static final String PROMPT_HEADERS =
      "X-Zinniaspan-Token-Usage: 6000,80\r\n"
          + "X-Zinniaspan-Prefix-Hash: 5c1e:800,91bd:4200,e440:1000\r\n";
  private static final double MS_PER_SECOND = 1_000;
  private static final double PERCENT = 100;

  private record Totals(double processorMs, double sentBytes, double residentMb) {}

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;

  ForwardFleetCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  void measure() throws IOException, InterruptedException {
    out.printf(
        "%nForward daemons in %d zones with %d engines, without requests, over %d s:%n",
        ZONES.size(), settings.endpoints.get(0), settings.seconds);
    out.printf(
        "%10s %12s %10s %12s %10s %14s%n",
        "VMs", "settled ms", "core %", "sent B/s", "RSS MB", "ms/request");
    for (int vms : settings.vms) {
      measure(vms);
    }
  }

  private void measure(int vms) throws IOException, InterruptedException {
    try (LocalSite site = new LocalSite(logs.resolve("forward-" + vms))) {
      site.setMaxSeeds(SEEDS);
      for (int i = 0; i < settings.endpoints.get(0); i++) {
        site.addEndpoint("i-" + i, ZONES.get(i % ZONES.size()), ENDPOINT_DELAY_MS);
      }
      site.publishConfiguration(List.of(KEY));
      List<String> flags = new ArrayList<>(LocalFleet.ENTRY_JVM_FLAGS);
      flags.addAll(List.of(settings.entryFlags()));
      LocalSite.LaunchOptions launch =
          new LocalSite.LaunchOptions(
              flags,
              settings.classPath.isEmpty()
                  ? System.getProperty("java.class.path")
                  : settings.classPath,
              Optional.empty());
      List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
      for (int i = 0; i < vms; i++) {
        daemons.add(site.startDaemon("vm-" + i, ZONES.get(i % ZONES.size()), launch));
      }
      TimeUnit.SECONDS.sleep(settings.settleSeconds);
      Totals before = read(daemons);
      TimeUnit.SECONDS.sleep(settings.seconds);
      Totals after = read(daemons);
      int requests = sendRequests(daemons);
      Totals loaded = read(daemons);
      out.printf(
          Locale.ROOT,
          "%10d %12.0f %10.2f %12.0f %10.1f %14.2f%n",
          vms,
          before.processorMs() / vms,
          PERCENT
              * (after.processorMs() - before.processorMs())
              / (MS_PER_SECOND * settings.seconds * vms),
          (after.sentBytes() - before.sentBytes()) / settings.seconds / vms,
          after.residentMb() / vms,
          (loaded.processorMs() - after.processorMs()) / Math.max(1, requests));
    }
  }

  /**
   * Sends requests to all daemons in turn, as many a second to each as set; returns their number.
   */
  private int sendRequests(List<LocalSite.DaemonProcess> daemons)
      throws IOException, InterruptedException {
    SiteClient client = new SiteClient("cost", KEY);
    AtomicInteger sent = new AtomicInteger();
    ScheduledExecutorService executor = Executors.newScheduledThreadPool(CLIENT_THREADS);
    try {
      long intervalMicros = (long) (MICROS_PER_SECOND / settings.requestsPerSecond);
      for (LocalSite.DaemonProcess daemon : daemons) {
        executor.scheduleAtFixedRate(
            () -> sendRequest(client, daemon, sent.getAndIncrement()),
            sent.get(),
            intervalMicros,
            TimeUnit.MICROSECONDS);
      }
      TimeUnit.SECONDS.sleep(settings.seconds);
    } finally {
      executor.shutdownNow();
    }
    return sent.get();
  }

  private static void sendRequest(SiteClient client, LocalSite.DaemonProcess daemon, int number) {
    try {
      if (number % 2 == 0) {
        client.call(daemon.callerAddress(), "POST", "/chat/x", PROMPT_HEADERS);
      } else {
        client.call(daemon.callerAddress(), "GET", "/safe/x", "");
      }
    } catch (IOException e) {
      // A request that failed was sent as well.
    }
  }

  private static Totals read(List<LocalSite.DaemonProcess> daemons) throws IOException {
    double processorMs = 0;
    double sentBytes = 0;
    double residentMb = 0;
    for (LocalSite.DaemonProcess daemon : daemons) {
      ProcessProbe probe = new ProcessProbe(daemon.process().pid());
      processorMs += probe.processorMs();
      residentMb += probe.residentMb();
    }
    for (LocalSite.DaemonProcess daemon : daemons) {
      String metrics = LocalFleet.get(daemon.metricsAddress(), "/metrics").body();
      sentBytes +=
          metrics
              .lines()
              .filter(line -> line.startsWith("zinniaspan_fleet_sent_bytes "))
              .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
              .sum();
    }
    return new Totals(processorMs, sentBytes, residentMb);
  }
}
