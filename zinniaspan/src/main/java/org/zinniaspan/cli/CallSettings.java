package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import org.zinniaspan.runner.AtMostOnceSettings;

/** Command-line settings of calls to plain services. */
final class CallSettings {

  private static final long MIN_HORIZON_MS = 10_000;
  private static final long MIN_START_TIMEOUT_MS = 500;

  @Parameter(
      names = "--retry-horizon-ms",
      description =
          "Retention time of idempotency keys, in milliseconds; callers retry within half of it.")
  long retryHorizonMs = AtMostOnceSettings.DEFAULTS.horizonMs();

  @Parameter(
      names = "--call-start-timeout-ms",
      description = "Maximum time from a call's arrival to its dispatch, in milliseconds.")
  long callStartTimeoutMs = AtMostOnceSettings.DEFAULTS.startTimeoutMs();

  @Parameter(
      names = "--max-claims",
      description = "Maximum number of idempotency keys kept by a VM; further keys are refused.")
  int maxClaims = AtMostOnceSettings.DEFAULTS.maxClaims();

  @Parameter(
      names = "--max-outcome-bytes",
      description = "Maximum size of the responses that a VM keeps for retries, in bytes.")
  long maxOutcomeBytes = AtMostOnceSettings.DEFAULTS.maxOutcomeBytes();

  void check(SettingsChecks checks) {
    checks.atLeast("--retry-horizon-ms", retryHorizonMs, MIN_HORIZON_MS);
    checks.atLeast("--call-start-timeout-ms", callStartTimeoutMs, MIN_START_TIMEOUT_MS);
    checks.atLeast("--max-claims", maxClaims, 1);
    checks.atLeast("--max-outcome-bytes", maxOutcomeBytes, 0);
  }

  AtMostOnceSettings atMostOnceSettings() {
    AtMostOnceSettings defaults = AtMostOnceSettings.DEFAULTS;
    return new AtMostOnceSettings(
        retryHorizonMs,
        callStartTimeoutMs,
        defaults.voteValidMs(),
        defaults.replyTimeoutMs(),
        defaults.resendPeriodMs(),
        maxClaims,
        maxOutcomeBytes);
  }
}
