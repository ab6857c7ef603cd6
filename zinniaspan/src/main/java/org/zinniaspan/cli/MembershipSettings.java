package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import org.zinniaspan.membership.GossipSettings;

/** Settings of membership and of the configuration feed. */
final class MembershipSettings {

  private static final int MIN_HEARTBEAT_MS = 100;
  private static final int MIN_HEARTBEATS_UNTIL_DEAD = 3;

  @Parameter(names = "--heartbeat-ms", description = "Milliseconds between two heartbeats.")
  long heartbeatMs = GossipSettings.DEFAULT_PERIOD_MS;

  @Parameter(
      names = "--dead-after-ms",
      description = "Milliseconds without a heartbeat after which a VM is not live.")
  long deadAfterMs = GossipSettings.DEFAULT_DEAD_AFTER_MS;

  @Parameter(
      names = "--drain-grace-ms",
      description = "Milliseconds after SIGTERM in which new requests are still taken.")
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
