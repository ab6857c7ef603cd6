package org.zinniaspan.standins.load;

import com.beust.jcommander.Parameter;
import java.util.Optional;
import org.zinniaspan.standins.engine.EngineProfile;

/** Settings of the fleet and of the requests that a run meets. */
final class ScenarioSettings {

  private static final int PREFILL_TOKENS_PER_SECOND = 5_000;
  private static final int CACHE_TOKENS = 20_000;
  private static final double STRAGGLER_SLOWDOWN = 5;

  @Parameter(names = "--firm", description = "Whose requests: placa-limpa or heberge-armor.")
  String firm = "placa-limpa";

  @Parameter(names = "--seconds", description = "Time over which requests arrive.")
  int seconds = 15;

  @Parameter(names = "--organisations", description = "Organisations, a few of them large.")
  int organisations = 10;

  @Parameter(names = "--burst", description = "Class that asks for more in the middle third.")
  String burst = "";

  @Parameter(names = "--burst-factor", description = "How many times its usual requests.")
  double burstFactor = 5;

  @Parameter(names = "--retries", description = "How often callers honour a Retry-After.")
  int retries;

  @Parameter(names = "--entries", description = "Entry VMs that the command starts.")
  int entries = 3;

  @Parameter(names = "--engines", description = "Engines that the command starts.")
  int engines = 4;

  @Parameter(names = "--slots", description = "Slots of each engine.")
  int slots = 8;

  @Parameter(names = "--ms-per-token", description = "Time between tokens of a lone request.")
  double msPerToken = 10;

  @Parameter(names = "--ms-per-token-per-request", description = "Time each request adds.")
  double msPerTokenPerRequest = 1;

  @Parameter(names = "--report-lag-ms", description = "Age of the engines' load reports.")
  long reportLagMs = 2_000;

  @Parameter(names = "--straggler", description = "The first engine is 5 times slower.")
  boolean straggler;

  @Parameter(names = "--crash", description = "Kill the last engine in the middle of the time.")
  boolean crash;

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

  /** Returns the engines at their usual pace that the fleet is worth over the whole time. */
  double effectiveEngines() {
    double crashed = crash ? 0.5 : 0;
    double slow = straggler ? 1 - 1 / STRAGGLER_SLOWDOWN : 0;
    return engines - crashed - slow;
  }

  double stragglerSlowdown() {
    return STRAGGLER_SLOWDOWN;
  }

  double capacityPerSecond(Workload workload) {
    return workload.capacityPerSecond(engineProfile(), effectiveEngines());
  }

  LoadProfile loadProfile(long seed, double perSecond) {
    Optional<LoadProfile.Burst> classBurst =
        burst.isEmpty() ? Optional.empty() : Optional.of(new LoadProfile.Burst(burst, burstFactor));
    return new LoadProfile(seed, perSecond, seconds * 1_000L, organisations, classBurst);
  }
}
