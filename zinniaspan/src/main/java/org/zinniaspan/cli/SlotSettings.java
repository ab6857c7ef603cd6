package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import java.util.Set;
import org.zinniaspan.dispatch.QueueLimits;

/** Settings of slots: who lends them, and to whom first. */
final class SlotSettings {

  static final String DISPATCHER = "dispatcher";
  static final String LOCAL = "local";

  private static final Set<String> POLICIES = Set.of(DISPATCHER, LOCAL);

  @Parameter(
      names = "--slot-policy",
      description = "Who lends slots: dispatcher (one per pool and availability zone) or local.")
  String policy = DISPATCHER;

  @Parameter(
      names = "--slot-queue-limit",
      description = "Most requests that wait for one pool, over all tiers.")
  int queueLimit = QueueLimits.DEFAULT.maxWaiting();

  @Parameter(
      names = "--slot-starved-after-ms",
      description = "Milliseconds without a grant after which a tier that asks is starved.")
  long starvedAfterMs = QueueLimits.DEFAULT.starvedAfterMs();

  @Parameter(
      names = "--slot-grants-between-starved",
      description = "Least number of grants between two that go to starved tiers.")
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
