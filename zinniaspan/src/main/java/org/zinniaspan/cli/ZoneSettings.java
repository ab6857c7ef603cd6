package org.zinniaspan.cli;

/** Settings of membership and of the configuration feed. */
final class ZoneSettings {

  void check(SettingsChecks checks) {
    // No setting yet.
  }
}
