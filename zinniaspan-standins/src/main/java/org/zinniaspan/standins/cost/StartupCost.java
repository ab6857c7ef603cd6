package org.zinniaspan.standins.cost;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Measures the time from the start of an entry VM's process to its readiness, and its memory after
 * the settle time.
 */
final class StartupCost {

  private static final String ZONE = "zone-a";
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final long POLL_INTERVAL_MS = 5;
  private static final int OK = 200;

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;

  StartupCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  void measure() throws IOException, InterruptedException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, 1)
            .models("counter-3b")
            .engine("engine-1", ZONE)
            .document("rules", settings.rules())
            .entryFlags(settings.entryFlags());
    out.printf("%nSequential starts:%n%10s %10s %10s%n", "ready ms", "RSS MB", "peak MB");
    try (LocalFleet fleet = LocalFleet.start(spec, logs.resolve("start"))) {
      for (int i = 1; i <= settings.starts; i++) {
        measureStart(fleet, "start-" + i);
      }
    }
  }

  private void measureStart(LocalFleet fleet, String name)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    LocalFleet.EntryProcess entry = fleet.startEntry(name, ZONE);
    while (LocalFleet.get(entry.adminAddress(), "/readyz").status() != OK) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    double readyMs = (System.nanoTime() - startNanos) / NANOS_PER_MS;
    TimeUnit.SECONDS.sleep(settings.settleSeconds);
    ProcessProbe probe = new ProcessProbe(entry.process().pid());
    out.printf(
        Locale.ROOT, "%10.0f %10.1f %10.1f%n", readyMs, probe.residentMb(), probe.peakResidentMb());
    entry.process().kill();
  }
}
