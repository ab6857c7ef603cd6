package org.zinniaspan.standins.cost;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Measures the resource use of the entry VMs of a fleet over an interval. */
final class FleetProbe {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double NANOS_PER_SECOND = 1_000_000_000.0;
  private static final double PERCENT = 100;

  /**
   * Resource use per entry VM, averaged over all VMs where not stated otherwise.
   *
   * @param corePercent processor time in percent of one core
   * @param sentBytesPerSecond bytes sent to other VMs per second
   * @param platformCallsPerSecond calls per second of all entry VMs together to the platform
   * @param residentMb resident memory in megabytes
   * @param peakResidentMb largest peak of resident memory of any VM, in megabytes
   */
  record ResourceUsage(
      double corePercent,
      double sentBytesPerSecond,
      double platformCallsPerSecond,
      double residentMb,
      double peakResidentMb) {}

  /** Cumulative counters over all entry VMs. */
  private record Totals(double processorMs, double sentBytes, double platformCalls, long atNanos) {}

  private final LocalFleet fleet;
  private final ObjectMapper mapper = new ObjectMapper();

  FleetProbe(LocalFleet fleet) {
    this.fleet = fleet;
  }

  /** Sleeps for the given time and returns the resource use during that time. */
  ResourceUsage measure(long durationMs) throws IOException, InterruptedException {
    Totals before = readTotals();
    TimeUnit.MILLISECONDS.sleep(durationMs);
    Totals after = readTotals();
    double seconds = (after.atNanos - before.atNanos) / NANOS_PER_SECOND;
    int vms = fleet.entries().size();
    double residentMb = 0;
    double peakMb = 0;
    for (LocalFleet.EntryProcess entry : fleet.entries().values()) {
      ProcessProbe probe = new ProcessProbe(entry.process().pid());
      residentMb += probe.residentMb() / vms;
      peakMb = Math.max(peakMb, probe.peakResidentMb());
    }
    return new ResourceUsage(
        PERCENT * (after.processorMs - before.processorMs) / MS_PER_SECOND / seconds / vms,
        (after.sentBytes - before.sentBytes) / seconds / vms,
        (after.platformCalls - before.platformCalls) / seconds,
        residentMb,
        peakMb);
  }

  private Totals readTotals() throws IOException {
    double sent = 0;
    double processorMs = 0;
    for (LocalFleet.EntryProcess entry : fleet.entries().values()) {
      sent += gauge(entry, "zinniaspan_peer_sent_bytes");
    }
    for (LocalFleet.EntryProcess entry : fleet.entries().values()) {
      processorMs += new ProcessProbe(entry.process().pid()).processorMs();
    }
    String counts = LocalFleet.get(fleet.platformAddress(), "/counts").body();
    double calls = mapper.readTree(counts).path("calls").asDouble();
    return new Totals(processorMs, sent, calls, System.nanoTime());
  }

  /**
   * Reads a gauge from the metrics of an entry VM.
   *
   * @param name metric name with its labels, as in the exposition format
   * @return the value, or zero if the VM exports no such metric
   */
  static double gauge(LocalFleet.EntryProcess entry, String name) {
    String metrics = LocalFleet.get(entry.adminAddress(), "/metrics").body();
    return metrics
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .findFirst()
        .orElse(0);
  }
}
