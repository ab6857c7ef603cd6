package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import org.zinniaspan.placement.PlacementLimits;

/** Command-line settings of the placement of models on engines. */
final class PlacementSettings {

  private static final int ONE_MINUTE_MS = 60_000;

  @Parameter(
      names = "--placement",
      arity = 1,
      description = "Whether this VM may order engines to load models: true or false.")
  boolean enabled = true;

  @Parameter(
      names = "--weight-store-mb-per-minute",
      description = "Maximum megabytes of weights that one availability zone loads per minute.")
  int weightStoreMbPerMinute = PlacementLimits.DEFAULT.weightStoreMb();

  @Parameter(
      names = "--placement-damping-ms",
      description = "Minimum time between two changes of one engine, in milliseconds.")
  long dampingMs = PlacementLimits.DEFAULT.dampingMs();

  void check(SettingsChecks checks) {
    checks.atLeast("--weight-store-mb-per-minute", weightStoreMbPerMinute, 1);
    checks.atLeast("--placement-damping-ms", dampingMs, 1_000);
  }

  PlacementLimits placementLimits() {
    PlacementLimits defaults = PlacementLimits.DEFAULT;
    return new PlacementLimits(
        defaults.handoverMs(),
        dampingMs,
        defaults.orderValidMs(),
        defaults.reportMaxAgeMs(),
        weightStoreMbPerMinute,
        ONE_MINUTE_MS);
  }
}
