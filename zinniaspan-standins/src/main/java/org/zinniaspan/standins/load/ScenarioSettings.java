package org.zinniaspan.standins.load;

import com.beust.jcommander.Parameter;
import java.util.Optional;
import org.zinniaspan.standins.engine.EngineProfile;

/** Command-line settings of the fleet, its faults and the arrivals of a run. */
final class ScenarioSettings {

  private static final int PREFILL_TOKENS_PER_SECOND = 5_000;
  private static final int CACHE_TOKENS = 20_000;
  private static final double STRAGGLER_SLOWDOWN = 5;

  @Parameter(
      names = "--firm",
      description = "Firm whose requests are sent: placa-limpa or heberge-armor.")
  String firm = "placa-limpa";

  @Parameter(names = "--seconds", description = "Time over which requests arrive, in seconds.")
  int seconds = 15;

  @Parameter(
      names = "--organisations",
      description = "Number of organisations, whose sizes follow a Zipf distribution.")
  int organisations = 10;

  @Parameter(
      names = "--burst",
      description = "Class whose request rate rises in the middle third of the run.")
  String burst = "";

  @Parameter(
      names = "--burst-factor",
      description = "Multiple of the usual request rate of the --burst class.")
  double burstFactor = 5;

  @Parameter(
      names = "--retries",
      description = "How many times a caller retries after the time in Retry-After.")
  int retries;

  @Parameter(names = "--entries", description = "Number of entry VMs that the command starts.")
  int entries = 3;

  @Parameter(names = "--engines", description = "Number of engines that the command starts.")
  int engines = 4;

  @Parameter(names = "--slots", description = "Slots of each engine (requests that run at once).")
  int slots = 8;

  @Parameter(names = "--ms-per-token", description = "Base time between tokens, in milliseconds.")
  double msPerToken = 10;

  @Parameter(
      names = "--ms-per-token-per-request",
      description = "Time between tokens that each running request adds, in milliseconds.")
  double msPerTokenPerRequest = 1;

  @Parameter(
      names = "--report-lag-ms",
      description = "Age of the engines' load reports, in milliseconds.")
  long reportLagMs = 2_000;

  @Parameter(names = "--straggler", description = "Slow the first engine down by a factor of 5.")
  boolean straggler;

  @Parameter(names = "--crash", description = "Kill the last engine halfway through the run.")
  boolean crash;

  /** Returns the profile of the engines that the command starts. */
  EngineProfile engineProfile() {
    return new EngineProfile(
        slots,
        msPerToken,
        msPerTokenPerRequest,
        PREFILL_TOKENS_PER_SECOND,
        CACHE_TOKENS,
        reportLagMs,
        false);
  }

  /**
   * Returns the capacity of the engines over the whole run, in engines at normal speed: a straggler
   * counts for a fifth, an engine that crashes halfway for a half.
   */
  double effectiveEngines() {
    double crashed = crash ? 0.5 : 0;
    double slow = straggler ? 1 - 1 / STRAGGLER_SLOWDOWN : 0;
    return engines - crashed - slow;
  }

  double stragglerSlowdown() {
    return STRAGGLER_SLOWDOWN;
  }

  /** Returns the requests per second of the workload that use the whole capacity. */
  double capacityPerSecond(Workload workload) {
    return workload.capacityPerSecond(engineProfile(), effectiveEngines());
  }

  /** Returns the load profile of a run with the given seed and request rate. */
  LoadProfile loadProfile(long seed, double perSecond) {
    Optional<LoadProfile.Burst> classBurst =
        burst.isEmpty() ? Optional.empty() : Optional.of(new LoadProfile.Burst(burst, burstFactor));
    return new LoadProfile(seed, perSecond, seconds * 1_000L, organisations, classBurst);
  }
}
