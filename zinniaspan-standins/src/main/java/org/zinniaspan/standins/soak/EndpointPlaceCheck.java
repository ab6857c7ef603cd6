package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/**
 * Checks, once all faults have ended, that daemons send nothing to an evacuated zone, and nothing
 * out of home regions.
 */
final class EndpointPlaceCheck {

  /** Zone whose endpoints must receive nothing; no other zone is in its region. */
  private static final String ZONE = "zone-b";

  private static final String OTHER_REGION = "west";
  private static final String KEY = "key-1";

  /** Time within which a change has to be in force at all daemons. */
  private static final long IN_FORCE_MS = 5_000;

  private static final long DURATION_MS = 1_500;
  private static final long POLL_INTERVAL_MS = 20;

  private final LocalSite site;
  private final List<SoakDaemon> daemons;
  private final SiteClient client = new SiteClient("place", KEY);

  EndpointPlaceCheck(LocalSite site, List<SoakDaemon> daemons) {
    this.site = site;
    this.daemons = daemons;
  }

  /** Returns one line for each violated guarantee. */
  List<String> violations() throws IOException {
    List<String> violations = new ArrayList<>();
    site.store().put("op/evacuate/" + ZONE, "{}");
    check("evacuation", "zinniaspan_evacuated_zones 1.0", violations);
    site.store().delete("op/evacuate/" + ZONE);
    awaitMetric("return", "zinniaspan_evacuated_zones 0.0", violations);
    int version = site.publishConfiguration(List.of(KEY), List.of(OTHER_REGION));
    check("home regions", "zinniaspan_configuration_version " + version + ".0", violations);
    return violations;
  }

  /** Checks that the zone's endpoints receive nothing once all daemons have adopted a change. */
  private void check(String change, String metric, List<String> violations) {
    if (!awaitMetric(change, metric, violations)) {
      return;
    }
    final int before = executions();
    int served = 0;
    long endMs = System.currentTimeMillis() + DURATION_MS;
    for (int round = 0; System.currentTimeMillis() < endMs; round++) {
      served += isServed(daemons.get(round % daemons.size())) ? 1 : 0;
    }
    if (executions() > before || served == 0) {
      violations.add(
          change
              + ": endpoints of "
              + ZONE
              + " executed "
              + (executions() - before)
              + " requests, allowed are none; "
              + served
              + " were served elsewhere");
    }
  }

  private boolean awaitMetric(String change, String metric, List<String> violations) {
    long endMs = System.currentTimeMillis() + IN_FORCE_MS;
    for (SoakDaemon daemon : daemons) {
      while (!metrics(daemon).contains('\n' + metric + '\n')) {
        if (System.currentTimeMillis() > endMs) {
          violations.add(change + ": not in force within " + IN_FORCE_MS + " ms: " + metric);
          return false;
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
      }
    }
    return true;
  }

  private static String metrics(SoakDaemon daemon) {
    return LocalFleet.get(daemon.process().metricsAddress(), "/metrics").body();
  }

  private int executions() {
    return site.endpoints().entrySet().stream()
        .filter(entry -> site.endpointZone(entry.getKey()).equals(ZONE))
        .mapToInt(entry -> entry.getValue().executions().size())
        .sum();
  }

  private boolean isServed(SoakDaemon daemon) {
    try {
      return client.call(daemon.callerAddress(), "GET", "/safe/x", "").isCompleteSuccess();
    } catch (IOException e) {
      return false;
    }
  }
}
