package org.zinniaspan.cli;

/** Settings of calls to plain services. */
final class CallSettings {

  void check(SettingsChecks checks) {
    // No setting yet.
  }
}
