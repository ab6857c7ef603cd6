package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.zinniaspan.clock.Clock;

/** The software versions of each service that were listed recently. Not thread-safe. */
final class VersionHistory {

  private record ServiceVersion(String service, String version) {}

  private final Clock clock;
  private final Map<ServiceVersion, Integer> listedCounts = new HashMap<>();
  private final Map<ServiceVersion, Long> unlistedMs = new HashMap<>();

  VersionHistory(Clock clock) {
    this.clock = clock;
  }

  /** Records that an endpoint is listed from now on. */
  void onListed(ListedEndpoint entry) {
    listedCounts.merge(key(entry), 1, Integer::sum);
  }

  /** Records that an endpoint is not listed any more, or not in this form. */
  void onUnlisted(ListedEndpoint entry) {
    listedCounts.computeIfPresent(key(entry), (key, count) -> count == 1 ? null : count - 1);
    unlistedMs.put(key(entry), clock.nowMs());
  }

  /** Returns the versions of a service that are listed or were within a time in milliseconds. */
  Set<String> recent(String service, long withinMs) {
    unlistedMs.values().removeIf(ms -> ms < clock.nowMs() - withinMs);
    Set<String> versions = new HashSet<>();
    for (ServiceVersion key : listedCounts.keySet()) {
      if (key.service().equals(service)) {
        versions.add(key.version());
      }
    }
    for (ServiceVersion key : unlistedMs.keySet()) {
      if (key.service().equals(service)) {
        versions.add(key.version());
      }
    }
    return versions;
  }

  private static ServiceVersion key(ListedEndpoint entry) {
    return new ServiceVersion(entry.service(), entry.softwareVersion());
  }
}
