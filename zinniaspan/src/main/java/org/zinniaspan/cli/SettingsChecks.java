package org.zinniaspan.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.inventory.Finding;

/**
 * Validates settings and collects the findings.
 *
 * <p>Each finding names the flag and its environment variable.
 */
final class SettingsChecks {

  private final List<Finding> findings = new ArrayList<>();

  /** Returns the findings of all checks so far. */
  List<Finding> findings() {
    return findings;
  }

  void required(String flag, String value) {
    if (value.isBlank()) {
      add(flag, "is missing");
    }
  }

  void address(String flag, String value) {
    try {
      Addresses.parse(value);
    } catch (IllegalArgumentException e) {
      add(flag, "'" + value + "' is not of the form host:port, for example 10.0.0.7:8080");
    }
  }

  void atLeast(String flag, long value, long min) {
    if (value < min) {
      add(flag, "is " + value + "; at least " + min + " is needed");
    }
  }

  void choice(String flag, String value, Set<String> valid) {
    if (!valid.contains(value)) {
      String choices = String.join(", ", new TreeSet<>(valid));
      add(flag, "'" + value + "' is unknown; valid are: " + choices);
    }
  }

  void add(String flag, String message) {
    String location = flag + " (" + EnvironmentDefaults.variable(flag) + ")";
    findings.add(new Finding("settings", location, message));
  }
}
