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

/** What an entry VM uses without any request. */
final class ControlCost {

  private static final String ZONE = "zone-a";
  private static final long MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int MEDIAN = 50;
  private static final int MOST = 100;
  private static final int CHANGES_VMS = 8;

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;
  private final ObjectMapper mapper = new ObjectMapper();

  ControlCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  private LocalFleet fleet(int vms, String name) throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, vms)
            .models("counter-3b")
            .engine("engine-1", ZONE)
            .document("rules", settings.rules())
            .entryFlags(settings.entryFlags());
    return LocalFleet.start(spec, logs.resolve(name));
  }

  private FleetProbe.Use settled(LocalFleet fleet) throws IOException, InterruptedException {
    TimeUnit.SECONDS.sleep(settings.settleSeconds);
    return new FleetProbe(fleet).over(settings.seconds * MS_PER_SECOND);
  }

  /** Prints what a VM uses by number of VMs in its availability zone. */
  void byVms() throws IOException, InterruptedException {
    header("VMs");
    for (int vms : settings.vms) {
      try (LocalFleet fleet = fleet(vms, "vms-" + vms)) {
        row(vms, settled(fleet));
      }
    }
  }

  /** Prints what a VM uses by number of endpoints; all of them are one process. */
  void byEndpoints() throws IOException, InterruptedException {
    header("endpoints, 2 VMs");
    for (int endpoints : settings.endpoints) {
      try (LocalFleet fleet = fleet(2, "endpoints-" + endpoints)) {
        fleet.publish("inventory", inventory(fleet, endpoints));
        row(endpoints, settled(fleet));
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

  /** Prints what a VM uses by changes of an inventory a second, and when they are in force. */
  void byChanges() throws IOException, InterruptedException {
    header("changes/s, " + CHANGES_VMS + " VMs, inventory of " + settings.inventoryRows + " rows");
    for (double perSecond : settings.changesPerSecond) {
      try (LocalFleet fleet = fleet(CHANGES_VMS, "changes-" + perSecond)) {
        String inventory = inventory(fleet, settings.inventoryRows);
        fleet.publish("inventory", inventory);
        TimeUnit.SECONDS.sleep(settings.settleSeconds);
        Histogram inForceMs = new Histogram(HISTOGRAM_DIGITS);
        Publisher publisher = new Publisher(fleet, inventory, perSecond, inForceMs);
        Thread thread = new Thread(publisher, "publisher");
        thread.start();
        FleetProbe.Use use = new FleetProbe(fleet).over(settings.seconds * MS_PER_SECOND);
        thread.interrupt();
        thread.join();
        row(perSecond, use);
        out.printf(
            Locale.ROOT,
            "  in force on all VMs after %d ms (median), %d ms (longest), %d changes of %d bytes%n",
            inForceMs.getValueAtPercentile(MEDIAN),
            inForceMs.getValueAtPercentile(MOST),
            inForceMs.getTotalCount(),
            inventory.length());
      }
    }
  }

  private static final class Publisher implements Runnable {

    private static final long POLL_MS = 10;
    private static final String GAUGE = "zinniaspan_document_revision{document=\"inventory\"}";

    private final LocalFleet fleet;
    private final String inventory;
    private final double perSecond;
    private final Histogram inForceMs;

    Publisher(LocalFleet fleet, String inventory, double perSecond, Histogram inForceMs) {
      this.fleet = fleet;
      this.inventory = inventory;
      this.perSecond = perSecond;
      this.inForceMs = inForceMs;
    }

    @Override
    public void run() {
      try {
        while (perSecond > 0) {
          long start = System.nanoTime();
          change();
          long leftMs = (long) (MS_PER_SECOND / perSecond - elapsedMs(start));
          TimeUnit.MILLISECONDS.sleep(Math.max(0, leftMs));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private void change() throws IOException, InterruptedException {
      long start = System.nanoTime();
      long revision = fleet.publish("inventory", inventory);
      List<LocalFleet.Entry> last = List.copyOf(fleet.entries().values());
      for (LocalFleet.Entry entry : last) {
        while (FleetProbe.gauge(entry, GAUGE) < revision) {
          TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
      }
      inForceMs.recordValue((long) elapsedMs(start));
    }

    private static double elapsedMs(long startNanos) {
      return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
  }

  private void header(String what) {
    out.printf("%nBy %s, without requests, over %d s:%n", what, settings.seconds);
    out.printf(
        "%10s %10s %12s %14s %10s %10s%n",
        "number", "core %", "sent B/s", "platform/s", "RSS MB", "peak MB");
  }

  private void row(double number, FleetProbe.Use use) {
    out.printf(
        Locale.ROOT,
        "%10.2f %10.2f %12.0f %14.2f %10.1f %10.1f%n",
        number,
        use.corePercent(),
        use.sentBytesPerSecond(),
        use.platformCallsPerSecond(),
        use.residentMb(),
        use.peakResidentMb());
  }
}
