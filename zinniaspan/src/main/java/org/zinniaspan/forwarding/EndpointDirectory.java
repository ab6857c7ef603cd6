package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.log.EventLog;

/**
 * The endpoints that the platform lists, with this VM's observations of each.
 *
 * <p>While the platform is unreachable, entries may expire although their endpoints are alive; such
 * entries reappear soon after the platform recovers. So removals that are seen shortly after an
 * outage are delayed by a grace period.
 */
public final class EndpointDirectory {

  /**
   * Grace period after an outage in which an endpoint may be missing from the list, in
   * milliseconds.
   */
  private static final long REMOVAL_GRACE_MS = 2_200;

  /**
   * Time for which versions are remembered after their last endpoint was unlisted, in milliseconds:
   * longer than any stream can be resumed.
   */
  public static final long VERSION_HISTORY_MS = 30_000;

  /** Gap between two ticks that is taken for a pause of this process, in milliseconds. */
  private static final long MAX_TICK_GAP_MS = 1_000;

  /**
   * Shortest time without a confirmation of the list after which changes can have been missed, in
   * milliseconds.
   */
  private static final long MIN_CONFIRMATION_GAP_MS = 5_000;

  /** Number of incarnations whose statements that they are draining are kept. */
  private static final int MAX_STATED_DRAINING = 5_000;

  /** Number of incarnations that are remembered after they were unlisted. */
  private static final int MAX_SEEN = 10_000;

  private final Clock clock;
  private final Set<EndpointIncarnation> statedDraining =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Boolean> eldest) {
              return size() > MAX_STATED_DRAINING;
            }
          });
  private final Set<EndpointIncarnation> seen =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Boolean> eldest) {
              return size() > MAX_SEEN;
            }
          });
  private final Map<String, TrackedEndpoint> endpoints = new HashMap<>();
  private final Map<String, Long> pendingRemovals = new HashMap<>();
  private final VersionHistory versions;
  private final PauseDetector pauses;
  private Optional<Long> currentSinceMs = Optional.empty();
  private long confirmationGapMs = MIN_CONFIRMATION_GAP_MS;
  private long confirmedMs = Long.MIN_VALUE / 2;
  private long graceEndMs = Long.MIN_VALUE;
  private long changeCount;
  private boolean complete;

  /** Creates an empty directory. */
  public EndpointDirectory(Clock clock) {
    this.clock = clock;
    this.versions = new VersionHistory(clock);
    this.pauses = new PauseDetector(clock, MAX_TICK_GAP_MS);
  }

  /**
   * Sets how long a watch waits for changes; without any, the list is confirmed when it ends.
   *
   * @param waitMs the wait in milliseconds
   */
  void setWatchWait(long waitMs) {
    confirmationGapMs = Math.max(MIN_CONFIRMATION_GAP_MS, 2 * waitMs);
  }

  /**
   * Starts the grace period for removals; called when the platform answers again after an outage.
   */
  public void onPlatformRecovered() {
    graceEndMs = clock.nowMs() + REMOVAL_GRACE_MS;
  }

  /**
   * Applies a complete list: adds and updates its endpoints, and removes all others, after an
   * outage only when the grace period has ended.
   */
  public void replaceAll(List<ListedEndpoint> list) {
    replaceAll(list, id -> false);
  }

  /**
   * Applies a list of which some entries are known to be outdated.
   *
   * @param list the other entries
   * @param keeps whether an endpoint that the list does not contain is left as it is
   */
  void replaceAll(List<ListedEndpoint> list, Predicate<String> keeps) {
    Set<String> ids = new HashSet<>();
    list.forEach(
        entry -> {
          ids.add(entry.id());
          put(entry);
        });
    List<String> missing =
        endpoints.keySet().stream().filter(id -> !ids.contains(id) && !keeps.test(id)).toList();
    missing.forEach(id -> removeAfterGrace(id));
    complete = true;
  }

  /** Applies one change. */
  public void apply(EndpointChange change) {
    if (change instanceof EndpointChange.Listed listed) {
      put(listed.endpoint());
    } else {
      removeAfterGrace(change.id());
    }
  }

  /** Removes the endpoints whose grace period has ended. */
  public void tick() {
    observePauses();
    long now = clock.nowMs();
    Iterator<Map.Entry<String, Long>> due = pendingRemovals.entrySet().iterator();
    while (due.hasNext()) {
      Map.Entry<String, Long> removal = due.next();
      if (removal.getValue() <= now) {
        due.remove();
        remove(removal.getKey());
      }
    }
  }

  /**
   * Records that an endpoint stated itself that it is draining, which the list may state later; it
   * holds for this incarnation, also while it is not listed.
   */
  public void onStatedDraining(ListedEndpoint entry) {
    statedDraining.add(EndpointIncarnation.of(entry));
    TrackedEndpoint known = endpoints.get(entry.id());
    if (known != null
        && known.listed().startedAtMs() == entry.startedAtMs()
        && known.stateDraining()) {
      onChange("endpoint-stated-draining", known.listed());
    }
  }

  /** Returns the endpoints of a service that accept requests; draining ones are left out. */
  public List<TrackedEndpoint> ready(String service) {
    List<TrackedEndpoint> result = new ArrayList<>();
    for (TrackedEndpoint endpoint : endpoints.values()) {
      ListedEndpoint listed = endpoint.listed();
      if (!listed.draining() && !endpoint.statedDraining() && listed.service().equals(service)) {
        result.add(endpoint);
      }
    }
    return result;
  }

  /**
   * Returns the entries of all endpoints, draining ones included, with the time for which they
   * remain cold from now on.
   */
  public List<ListedEndpoint> entries() {
    long now = clock.nowMs();
    return endpoints.values().stream()
        .map(
            endpoint -> {
              ListedEndpoint listed = endpoint.listed();
              return endpoint.isCold(now) || listed.coldRemainingMs().isPresent()
                  ? listed.withCold(Optional.of(Math.max(0, endpoint.coldUntilMs() - now)))
                  : listed;
            })
        .toList();
  }

  /**
   * Records that an endpoint stated itself for how long it remains cold, which the list may state
   * later.
   */
  public void onStatedCold(ListedEndpoint entry, long remainingMs) {
    endpoint(entry.id())
        .filter(known -> known.listed().startedAtMs() == entry.startedAtMs())
        .ifPresent(known -> stateCold(known, remainingMs));
  }

  private void stateCold(TrackedEndpoint endpoint, long remainingMs) {
    long now = clock.nowMs();
    long untilMs = now + Math.min(ColdSpec.MAX_COLD_MS, remainingMs);
    if (endpoint.stateCold(untilMs, now)) {
      changeCount++;
      EventLog.event("endpoint-stated-cold")
          .with("endpoint", endpoint.listed().id())
          .with("zone", endpoint.listed().zone())
          .with("remainingMs", untilMs - now)
          .info();
    }
  }

  /**
   * Returns the software versions of a service that are listed, or were within the last {@value
   * #VERSION_HISTORY_MS} ms.
   */
  public Set<String> recentVersions(String service) {
    return versions.recent(service, VERSION_HISTORY_MS);
  }

  /**
   * Records that the list was shown to be current by the answer to a request, unless this process
   * was paused since.
   *
   * @param requestedMs time at which the request was sent, in milliseconds
   */
  public void onListCurrent(long requestedMs) {
    observePauses();
    boolean gap = !isListConfirmed();
    confirmedMs = clock.nowMs();
    if ((currentSinceMs.isEmpty() || gap) && !pauses.pausedSince(requestedMs)) {
      currentSinceMs = Optional.of(clock.nowMs());
    }
  }

  /** Returns the time since the list was last shown to be current; empty if it never was. */
  Optional<Long> confirmationAgeMs() {
    return confirmedMs < 0 ? Optional.empty() : Optional.of(clock.nowMs() - confirmedMs);
  }

  /** Returns whether the list was shown to be current a short time ago. */
  public boolean isListConfirmed() {
    return clock.nowMs() - confirmedMs <= confirmationGapMs;
  }

  /**
   * Records the changes that the platform still has of the time before this process observed the
   * list, oldest first, so that the list counts as observed for {@value #VERSION_HISTORY_MS} ms.
   */
  void onEarlierChanges(List<EndpointChange> changes) {
    Set<String> known = new HashSet<>();
    for (EndpointChange change : changes) {
      if (change instanceof EndpointChange.Listed listed) {
        known.add(change.id());
        versions.onListedBefore(listed.endpoint());
      } else if (!known.contains(change.id())) {
        versions.onUnknownListedBefore();
      }
    }
    long sinceMs = clock.nowMs() - VERSION_HISTORY_MS;
    currentSinceMs = currentSinceMs.map(ms -> Math.min(ms, sinceMs));
  }

  /** Returns whether the list was shown to be current since the last pause of this process. */
  public boolean isListCurrent() {
    observePauses();
    return currentSinceMs.isPresent();
  }

  /**
   * Returns the time for which all changes of the list were observed, in milliseconds; it starts
   * anew after a pause of this process, or a time in which nothing confirmed the list.
   */
  public long observedMs() {
    observePauses();
    if (!isListConfirmed()) {
      return 0;
    }
    return currentSinceMs.map(ms -> clock.nowMs() - ms).orElse(0L);
  }

  private void observePauses() {
    if (pauses.observe()) {
      currentSinceMs = Optional.empty();
    }
  }

  /** Returns an endpoint by its id. */
  public Optional<TrackedEndpoint> endpoint(String id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  /** Returns the number of changes to the entries so far. */
  public long changeCount() {
    return changeCount;
  }

  /** Returns the number of endpoints. */
  public int size() {
    return endpoints.size();
  }

  /** Returns whether an endpoint is in the directory. */
  public boolean contains(String id) {
    return endpoints.containsKey(id);
  }

  private void put(ListedEndpoint entry) {
    pendingRemovals.remove(entry.id());
    TrackedEndpoint known = endpoints.get(entry.id());
    if (known == null) {
      TrackedEndpoint added = track(entry);
      endpoints.put(entry.id(), added);
      versions.onListed(entry);
      onChange("endpoint-added", entry);
      entry.coldRemainingMs().ifPresent(ms -> stateCold(added, ms));
    } else if (!known.listed().equals(entry) && !isOutdated(entry, known.listed())) {
      update(known, entry);
    } else if (!known.isCold(clock.nowMs())) {
      entry.coldRemainingMs().ifPresent(ms -> stateCold(known, ms));
    }
  }

  private void update(TrackedEndpoint known, ListedEndpoint entry) {
    ListedEndpoint before = known.listed();
    known.update(entry);
    if (before.startedAtMs() != entry.startedAtMs()) {
      onFirstSeen(known);
    }
    if (!before.equalsExceptCold(entry)) {
      versions.onUnlisted(before);
      versions.onListed(entry);
      onChange(entry.draining() ? "endpoint-draining" : "endpoint-changed", entry);
    }
    // An entry that is read again unchanged is older than at the first time.
    boolean readAgain =
        before.startedAtMs() == entry.startedAtMs()
            && before.coldRemainingMs().equals(entry.coldRemainingMs());
    if (!readAgain || !known.isCold(clock.nowMs())) {
      entry.coldRemainingMs().ifPresent(ms -> stateCold(known, ms));
    }
  }

  private void onFirstSeen(TrackedEndpoint endpoint) {
    boolean isNew = seen.add(EndpointIncarnation.of(endpoint.listed()));
    endpoint.onFirstSeen(complete && isNew, clock.nowMs());
  }

  private TrackedEndpoint track(ListedEndpoint entry) {
    TrackedEndpoint endpoint = new TrackedEndpoint(entry);
    if (statedDraining.contains(EndpointIncarnation.of(entry))) {
      endpoint.stateDraining();
    }
    onFirstSeen(endpoint);
    return endpoint;
  }

  /**
   * Returns whether an entry is older than the known one: no incarnation returns from draining, but
   * a store that was restored from a copy shows it as it was until it is written again.
   */
  private boolean isOutdated(ListedEndpoint entry, ListedEndpoint known) {
    return clock.nowMs() < graceEndMs
        && known.draining()
        && !entry.draining()
        && known.startedAtMs() == entry.startedAtMs();
  }

  private void removeAfterGrace(String id) {
    if (!endpoints.containsKey(id)) {
      return;
    }
    if (clock.nowMs() < graceEndMs) {
      pendingRemovals.putIfAbsent(id, graceEndMs);
    } else {
      pendingRemovals.remove(id);
      remove(id);
    }
  }

  private void remove(String id) {
    TrackedEndpoint removed = endpoints.remove(id);
    if (removed != null) {
      versions.onUnlisted(removed.listed());
      onChange("endpoint-gone", removed.listed());
    }
  }

  private void onChange(String event, ListedEndpoint entry) {
    changeCount++;
    EventLog.event(event)
        .with("endpoint", entry.id())
        .with("service", entry.service())
        .with("address", entry.address())
        .with("zone", entry.zone())
        .with("software", entry.softwareVersion())
        .info();
  }
}
