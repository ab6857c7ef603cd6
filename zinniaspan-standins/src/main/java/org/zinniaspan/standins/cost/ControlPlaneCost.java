package org.zinniaspan.standins.cost;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Measures the resource use of idle entry VMs: control-plane traffic, processor time and memory.
 *
 * <p>Each measurement starts its own fleet and waits for the settle time first.
 */
final class ControlPlaneCost {

  private static final String ZONE = "zone-a";
  private static final long MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int MEDIAN_PERCENTILE = 50;
  private static final int MAX_PERCENTILE = 100;
  private static final int VMS_FOR_CHANGES = 8;

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;
  private final ObjectMapper mapper = new ObjectMapper();

  ControlPlaneCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  private LocalFleet startFleet(int vms, String name) throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, vms)
            .models("counter-3b")
            .engine("engine-1", ZONE)
            .document("rules", settings.rules())
            .entryFlags(settings.entryFlags());
    return LocalFleet.start(spec, logs.resolve(name));
  }

  private FleetProbe.ResourceUsage measureSettled(LocalFleet fleet)
      throws IOException, InterruptedException {
    TimeUnit.SECONDS.sleep(settings.settleSeconds);
    return new FleetProbe(fleet).measure(settings.seconds * MS_PER_SECOND);
  }

  /** Prints the resource use per VM by number of VMs in the availability zone. */
  void measureByVms() throws IOException, InterruptedException {
    printHeader("VMs");
    for (int vms : settings.vms) {
      try (LocalFleet fleet = startFleet(vms, "vms-" + vms)) {
        printRow(vms, measureSettled(fleet));
      }
    }
  }

  /**
   * Prints the resource use per VM by number of endpoints.
   *
   * <p>All endpoints have the address of one engine process.
   */
  void measureByEndpoints() throws IOException, InterruptedException {
    printHeader("endpoints, 2 VMs");
    for (int endpoints : settings.endpoints) {
      try (LocalFleet fleet = startFleet(2, "endpoints-" + endpoints)) {
        fleet.publish("inventory", inventory(fleet, endpoints));
        printRow(endpoints, measureSettled(fleet));
      }
    }
  }

  private String inventory(LocalFleet fleet, int endpoints) throws IOException {
    ObjectNode inventory = (ObjectNode) mapper.readTree(fleet.inventory());
    ArrayNode rows = (ArrayNode) inventory.get("endpoints");
    JsonNode first = rows.get(0);
    for (int i = 2; i <= endpoints; i++) {
      rows.add(((ObjectNode) first.deepCopy()).put("name", "engine-" + i));
    }
    return inventory.toString();
  }

  /**
   * Prints the resource use per VM by inventory changes per second, and the propagation delay.
   *
   * <p>The propagation delay is the time from the publication of a revision until every VM reports
   * that revision in its metrics.
   */
  void measureByChanges() throws IOException, InterruptedException {
    printHeader(
        "changes/s, " + VMS_FOR_CHANGES + " VMs, inventory of " + settings.inventoryRows + " rows");
    for (double changesPerSecond : settings.changesPerSecond) {
      try (LocalFleet fleet = startFleet(VMS_FOR_CHANGES, "changes-" + changesPerSecond)) {
        String inventory = inventory(fleet, settings.inventoryRows);
        fleet.publish("inventory", inventory);
        TimeUnit.SECONDS.sleep(settings.settleSeconds);
        Histogram propagationMs = new Histogram(HISTOGRAM_DIGITS);
        ChangePublisher publisher =
            new ChangePublisher(fleet, inventory, changesPerSecond, propagationMs);
        Thread thread = new Thread(publisher, "publisher");
        thread.start();
        FleetProbe.ResourceUsage usage =
            new FleetProbe(fleet).measure(settings.seconds * MS_PER_SECOND);
        thread.interrupt();
        thread.join();
        printRow(changesPerSecond, usage);
        out.printf(
            Locale.ROOT,
            "  in force on all VMs after %d ms (median), %d ms (longest), %d changes of %d bytes%n",
            propagationMs.getValueAtPercentile(MEDIAN_PERCENTILE),
            propagationMs.getValueAtPercentile(MAX_PERCENTILE),
            propagationMs.getTotalCount(),
            inventory.length());
      }
    }
  }

  /**
   * Publishes the same inventory again and again, each time as a new revision, at up to the given
   * rate, and records the propagation delays.
   */
  private static final class ChangePublisher implements Runnable {

    private static final long POLL_INTERVAL_MS = 10;
    private static final String REVISION_GAUGE =
        "zinniaspan_document_revision{document=\"inventory\"}";

    private final LocalFleet fleet;
    private final String inventory;
    private final double changesPerSecond;
    private final Histogram propagationMs;

    ChangePublisher(
        LocalFleet fleet, String inventory, double changesPerSecond, Histogram propagationMs) {
      this.fleet = fleet;
      this.inventory = inventory;
      this.changesPerSecond = changesPerSecond;
      this.propagationMs = propagationMs;
    }

    @Override
    public void run() {
      try {
        while (changesPerSecond > 0) {
          long startNanos = System.nanoTime();
          publishAndAwaitAdoption();
          long remainingMs = (long) (MS_PER_SECOND / changesPerSecond - elapsedMs(startNanos));
          TimeUnit.MILLISECONDS.sleep(Math.max(0, remainingMs));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private void publishAndAwaitAdoption() throws IOException, InterruptedException {
      long startNanos = System.nanoTime();
      long revision = fleet.publish("inventory", inventory);
      List<LocalFleet.EntryProcess> entries = List.copyOf(fleet.entries().values());
      for (LocalFleet.EntryProcess entry : entries) {
        while (FleetProbe.gauge(entry, REVISION_GAUGE) < revision) {
          TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
      }
      propagationMs.recordValue((long) elapsedMs(startNanos));
    }

    private static double elapsedMs(long startNanos) {
      return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
  }

  private void printHeader(String what) {
    out.printf("%nBy %s, without requests, over %d s:%n", what, settings.seconds);
    out.printf(
        "%10s %10s %12s %14s %10s %10s%n",
        "number", "core %", "sent B/s", "platform/s", "RSS MB", "peak MB");
  }

  private void printRow(double number, FleetProbe.ResourceUsage usage) {
    out.printf(
        Locale.ROOT,
        "%10.2f %10.2f %12.0f %14.2f %10.1f %10.1f%n",
        number,
        usage.corePercent(),
        usage.sentBytesPerSecond(),
        usage.platformCallsPerSecond(),
        usage.residentMb(),
        usage.peakResidentMb());
  }
}
