package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import java.util.Set;
import org.zinniaspan.dispatch.QueueLimits;

/** Command-line settings of slot allocation: the policy and the limits of the queues. */
final class SlotSettings {

  static final String DISPATCHER = "dispatcher";
  static final String LOCAL = "local";

  private static final Set<String> POLICIES = Set.of(DISPATCHER, LOCAL);

  @Parameter(
      names = "--slot-policy",
      description = "Slot allocation: dispatcher (one per pool and availability zone) or local.")
  String policy = DISPATCHER;

  @Parameter(
      names = "--slot-queue-limit",
      description = "Maximum number of requests queued for one pool, over all tiers.")
  int queueLimit = QueueLimits.DEFAULT.maxWaiting();

  @Parameter(
      names = "--slot-starved-after-ms",
      description = "Time without a grant after which a waiting tier is starved, in milliseconds.")
  long starvedAfterMs = QueueLimits.DEFAULT.starvedAfterMs();

  @Parameter(
      names = "--slot-grants-between-starved",
      description = "Minimum number of grants between two grants to starved tiers.")
  int grantsBetweenStarved = QueueLimits.DEFAULT.grantsBetweenStarved();

  void check(SettingsChecks checks) {
    checks.choice("--slot-policy", policy, POLICIES);
    checks.atLeast("--slot-queue-limit", queueLimit, 1);
    checks.atLeast("--slot-starved-after-ms", starvedAfterMs, 1);
    checks.atLeast("--slot-grants-between-starved", grantsBetweenStarved, 1);
  }

  QueueLimits queueLimits() {
    return new QueueLimits(
        queueLimit, starvedAfterMs, QueueLimits.DEFAULT.backloggedAfterMs(), grantsBetweenStarved);
  }
}
