package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import java.util.Set;

/** Settings of the choice of endpoints and of streams. */
final class RoutingSettings {

  private static final Set<String> POLICIES = Set.of("round-robin", "least-load");
  private static final long SHORTEST_PERIOD_MS = 10;

  @Parameter(
      names = "--endpoint-policy",
      description = "How an endpoint is chosen: round-robin or least-load.")
  String policy = "least-load";

  @Parameter(names = "--load-period-ms", description = "Milliseconds between two load reports.")
  long loadPeriodMs = 500;

  void check(SettingsChecks checks) {
    checks.choice("--endpoint-policy", policy, POLICIES);
    checks.atLeast("--load-period-ms", loadPeriodMs, SHORTEST_PERIOD_MS);
  }
}
