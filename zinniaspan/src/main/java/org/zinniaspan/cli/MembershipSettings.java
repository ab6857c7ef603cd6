package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import org.zinniaspan.membership.GossipSettings;

/** Command-line settings of heartbeats, failure detection and the drain of this VM. */
final class MembershipSettings {

  private static final int MIN_HEARTBEAT_MS = 100;
  private static final int MIN_HEARTBEATS_UNTIL_DEAD = 3;

  @Parameter(
      names = "--heartbeat-ms",
      description = "Interval between heartbeats, in milliseconds.")
  long heartbeatMs = GossipSettings.DEFAULT_PERIOD_MS;

  @Parameter(
      names = "--dead-after-ms",
      description = "Time without a heartbeat after which a VM counts as dead, in milliseconds.")
  long deadAfterMs = GossipSettings.DEFAULT_DEAD_AFTER_MS;

  @Parameter(
      names = "--drain-grace-ms",
      description = "Time after SIGTERM in which new requests are still accepted, in milliseconds.")
  long drainGraceMs = 3_000;

  GossipSettings gossipSettings(long seed) {
    return new GossipSettings(heartbeatMs, deadAfterMs, GossipSettings.DEFAULT_FAN_OUT, seed);
  }

  void check(SettingsChecks checks) {
    checks.atLeast("--heartbeat-ms", heartbeatMs, MIN_HEARTBEAT_MS);
    checks.atLeast("--drain-grace-ms", drainGraceMs, 0);
    checks.atLeast("--dead-after-ms", deadAfterMs, MIN_HEARTBEATS_UNTIL_DEAD * heartbeatMs);
  }
}
