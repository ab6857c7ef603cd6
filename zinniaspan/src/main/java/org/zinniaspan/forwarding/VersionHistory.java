package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;

/** The software versions of each service that were listed recently. Not thread-safe. */
final class VersionHistory {

  /** Stands for the version of an endpoint that was listed, but whose entry is not known. */
  static final String UNKNOWN_VERSION = "(unknown)";

  private record ServiceVersion(String service, String version) {}

  private final Clock clock;
  private final Map<ServiceVersion, Integer> listedCounts = new HashMap<>();
  private final Map<ServiceVersion, Long> unlistedMs = new HashMap<>();
  private Optional<Long> unknownMs = Optional.empty();

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

  /** Records that an endpoint may have been listed until now. */
  void onListedBefore(ListedEndpoint entry) {
    unlistedMs.put(key(entry), clock.nowMs());
  }

  /** Records that an endpoint of any service and version may have been listed until now. */
  void onUnknownListedBefore() {
    unknownMs = Optional.of(clock.nowMs());
  }

  /**
   * Returns the versions of a service that are listed or were within a time in milliseconds, with
   * {@value #UNKNOWN_VERSION} if others may have been.
   */
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
    if (unknownMs.isPresent() && unknownMs.get() >= clock.nowMs() - withinMs) {
      versions.add(UNKNOWN_VERSION);
    }
    return versions;
  }

  private static ServiceVersion key(ListedEndpoint entry) {
    return new ServiceVersion(entry.service(), entry.softwareVersion());
  }
}
