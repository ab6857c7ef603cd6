package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import java.util.Set;

/** Settings of slots: who lends them, and to whom first. */
final class SlotSettings {

  private static final Set<String> POLICIES = Set.of("local");

  @Parameter(names = "--slot-policy", description = "Who lends slots: local.")
  String policy = "local";

  void check(SettingsChecks checks) {
    checks.choice("--slot-policy", policy, POLICIES);
  }
}
