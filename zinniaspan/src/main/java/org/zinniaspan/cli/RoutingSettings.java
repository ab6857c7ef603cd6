package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import java.util.Set;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EstimatedFirstToken;
import org.zinniaspan.routing.LeastReportedLoad;
import org.zinniaspan.routing.RandomChoice;
import org.zinniaspan.routing.RoundRobin;
import org.zinniaspan.stream.StreamSettings;

/** Command-line settings of endpoint selection, ejection, retries and stall detection. */
final class RoutingSettings {

  private static final Set<String> POLICIES =
      Set.of("estimated", "round-robin", "random", "least-load");
  private static final Set<String> ON_OFF = Set.of("on", "off");
  private static final String ON = "on";
  private static final long MIN_PERIOD_MS = 10;
  private static final long PERCENT = 100;

  @Parameter(
      names = "--endpoint-policy",
      description = "Endpoint selection policy: estimated, round-robin, random or least-load.")
  String policy = "estimated";

  @Parameter(
      names = "--load-period-ms",
      description = "Interval between load polls, in milliseconds.")
  long loadPeriodMs = 500;

  @Parameter(
      names = "--ejection",
      description = "Whether failing endpoints are temporarily ejected: on or off.")
  String ejection = ON;

  @Parameter(names = "--max-retries", description = "Maximum number of retries of one request.")
  int maxRetries = StreamSettings.DEFAULTS.maxRetries();

  @Parameter(
      names = "--retry-percent",
      description = "Retry budget of this VM, in percent of its successful requests.")
  int retryPercent = 20;

  @Parameter(
      names = "--retries-per-second",
      description = "Retries per second that this VM may make in addition to --retry-percent.")
  int retriesPerSecond = 2;

  @Parameter(
      names = "--stall-ms",
      description = "Minimum time without a token that counts as a stall, in milliseconds.")
  long stallMs = StreamSettings.DEFAULTS.stallMs();

  void check(SettingsChecks checks) {
    checks.choice("--endpoint-policy", policy, POLICIES);
    checks.atLeast("--load-period-ms", loadPeriodMs, MIN_PERIOD_MS);
    checks.choice("--ejection", ejection, ON_OFF);
    checks.atLeast("--max-retries", maxRetries, 0);
    checks.atLeast("--retry-percent", retryPercent, 0);
    checks.atLeast("--retries-per-second", retriesPerSecond, 0);
    checks.atLeast("--stall-ms", stallMs, MIN_PERIOD_MS);
  }

  EndpointChooser newChooser(long seed) {
    return switch (policy) {
      case "round-robin" -> new RoundRobin();
      case "random" -> new RandomChoice(seed);
      case "least-load" -> new LeastReportedLoad();
      default -> new EstimatedFirstToken(seed);
    };
  }

  boolean isEjectionEnabled() {
    return ejection.equals(ON);
  }

  double retryRatio() {
    return (double) retryPercent / PERCENT;
  }

  StreamSettings streamSettings() {
    return StreamSettings.DEFAULTS.withMaxRetries(maxRetries).withStallMs(stallMs);
  }
}
