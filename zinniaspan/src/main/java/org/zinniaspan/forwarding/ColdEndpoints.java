package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Keeps all VMs together to the number of requests a second that cold endpoints take.
 *
 * <p>An endpoint is cold for some time after its start, and may become cold at any other time. Its
 * entry in the platform's list and the head of its responses state for how long. Where that is not
 * known yet, an endpoint counts as cold if it has just started, if it can be connected to again
 * after that failed, and for a short time after a pause of this process. Each VM sends within its
 * own share of a {@link PermitSchedule}, so that VMs that are cut off keep to the rate too. Not
 * thread-safe.
 */
public final class ColdEndpoints implements SendLimit {

  /**
   * Time within which this VM learns that an endpoint has become cold while the list is confirmed,
   * in milliseconds.
   */
  private static final long LEARNING_MS = 1_000;

  /** Time after a failed connection in which the next one shows a return, in milliseconds. */
  private static final long RETURN_MS = 30_000;

  /** Number of endpoints with failed connections that are kept. */
  private static final int MAX_FAILED = 5_000;

  private final Clock clock;
  private final Clock timeOfDay;
  private final EndpointDirectory directory;
  private final Function<String, Optional<ColdSpec>> specs;
  private final ColdAllowance allowance;
  private final Supplier<PermitShare> share;
  private final PermitUse permits;
  private final Map<EndpointIncarnation, Long> failedMs = new HashMap<>();
  private final Map<EndpointIncarnation, Long> presumedUntilMs = new HashMap<>();
  private final Set<EndpointIncarnation> known = new HashSet<>();
  private boolean listWasCurrent = true;
  private long staleSinceMs;
  private long sentCount;
  private long heldBackCount;

  /**
   * Creates the limits of a VM that knows of no cold endpoint.
   *
   * @param timeOfDay time of day in milliseconds since the epoch, which aligns the VMs
   * @param specs returns what the endpoints of a service take while they are cold, by its name
   * @param share returns the share of this VM in the slots of an endpoint
   */
  public ColdEndpoints(
      Clock clock,
      Clock timeOfDay,
      EndpointDirectory directory,
      Function<String, Optional<ColdSpec>> specs,
      ColdAllowance allowance,
      Supplier<PermitShare> share) {
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.directory = directory;
    this.specs = specs;
    this.allowance = allowance;
    this.share = share;
    this.permits = new PermitUse(timeOfDay);
  }

  @Override
  public boolean appliesTo(ListedEndpoint endpoint) {
    return coldSpec(endpoint).isPresent();
  }

  @Override
  public long remainingMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    long remainingMs =
        schedule(listed).map(schedule -> permits.remainingMs(listed, schedule)).orElse(0L);
    if (remainingMs > 0) {
      heldBackCount++;
    }
    return remainingMs;
  }

  @Override
  public long peekMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    return known.contains(EndpointIncarnation.of(listed))
        ? specs
            .apply(listed.service())
            .map(spec -> permits.peekMs(listed, schedule(listed, spec)))
            .orElse(0L)
        : 0;
  }

  @Override
  public void onSent(ListedEndpoint endpoint) {
    schedule(endpoint)
        .ifPresent(
            schedule -> {
              permits.use(endpoint, schedule);
              sentCount++;
            });
  }

  @Override
  public void onConnectFailed(ListedEndpoint endpoint) {
    if (failedMs.size() >= MAX_FAILED) {
      failedMs.values().removeIf(ms -> clock.nowMs() - ms > RETURN_MS);
    }
    if (specs.apply(endpoint.service()).isPresent() && failedMs.size() < MAX_FAILED) {
      failedMs.put(EndpointIncarnation.of(endpoint), clock.nowMs());
    }
  }

  @Override
  public void onConnected(ListedEndpoint endpoint) {
    Long lastFailedMs = failedMs.remove(EndpointIncarnation.of(endpoint));
    Optional<ColdSpec> spec = specs.apply(endpoint.service());
    long now = clock.nowMs();
    if (lastFailedMs == null || spec.isEmpty() || now - lastFailedMs > RETURN_MS) {
      return;
    }
    long presumedMs = spec.get().startMs();
    if (directory.isListConfirmed()) {
      presumedMs = Math.min(presumedMs, LEARNING_MS);
    }
    presumedUntilMs.values().removeIf(ms -> ms <= now);
    presumedUntilMs.put(EndpointIncarnation.of(endpoint), now + presumedMs);
  }

  /** Returns the number of requests that were sent to cold endpoints. */
  public long sentCount() {
    return sentCount;
  }

  /** Returns how often a cold endpoint was left out of a choice, as this VM had no permit. */
  public long heldBackCount() {
    return heldBackCount;
  }

  private Optional<PermitSchedule> schedule(ListedEndpoint endpoint) {
    return coldSpec(endpoint).map(spec -> schedule(endpoint, spec));
  }

  private PermitSchedule schedule(ListedEndpoint endpoint, ColdSpec spec) {
    ColdAllowance.Pace pace = allowance.pace(spec.requestsPerSecond());
    return new PermitSchedule(
        pace.perSecond(), pace.validityMs(), endpoint.id().hashCode(), share.get());
  }

  /** Returns what an endpoint takes if it is cold, or may be. */
  private Optional<ColdSpec> coldSpec(ListedEndpoint endpoint) {
    Optional<ColdSpec> spec = specs.apply(endpoint.service());
    if (spec.isEmpty()) {
      return Optional.empty();
    }
    String reason = reason(endpoint, spec.get());
    boolean cold = !reason.isEmpty();
    EndpointIncarnation incarnation = EndpointIncarnation.of(endpoint);
    if (cold != known.contains(incarnation)) {
      log(endpoint, spec.get(), reason);
      if (cold) {
        known.removeIf(other -> !directory.contains(other.endpointId()));
        known.add(incarnation);
      } else {
        known.remove(incarnation);
      }
    }
    return cold ? spec : Optional.empty();
  }

  private void log(ListedEndpoint endpoint, ColdSpec spec, String reason) {
    EventLog event =
        EventLog.event(reason.isEmpty() ? "endpoint-warm" : "endpoint-cold")
            .with("endpoint", endpoint.id())
            .with("zone", endpoint.zone());
    if (!reason.isEmpty()) {
      event
          .with("reason", reason)
          .with("requestsPerSecond", spec.requestsPerSecond())
          .with("share", share.get());
    }
    event.info();
  }

  /** Returns why an endpoint counts as cold; empty if it does not. */
  private String reason(ListedEndpoint endpoint, ColdSpec spec) {
    long now = clock.nowMs();
    Optional<TrackedEndpoint> tracked =
        directory
            .endpoint(endpoint.id())
            .filter(e -> e.listed().startedAtMs() == endpoint.startedAtMs());
    if (tracked.map(e -> e.coldUntilMs() > now).orElse(false)) {
      return "stated";
    }
    if (tracked.map(e -> hasJustStarted(e, spec, now)).orElse(false)) {
      return "started";
    }
    Long presumedUntil = presumedUntilMs.get(EndpointIncarnation.of(endpoint));
    if (presumedUntil != null && presumedUntil > now) {
      return "returned";
    }
    return isListStale(now) ? "unknown" : "";
  }

  private boolean hasJustStarted(TrackedEndpoint endpoint, ColdSpec spec, long now) {
    if (now - endpoint.firstSeenMs() >= spec.startMs()) {
      return false;
    }
    long startedAtMs = endpoint.listed().startedAtMs();
    boolean stated = endpoint.listed().coldRemainingMs().isPresent();
    boolean recent = startedAtMs > 0 && timeOfDay.nowMs() - startedAtMs < spec.startMs();
    return endpoint.isFresh() ? recent || !stated : recent && !stated;
  }

  /**
   * Returns whether endpoints may have become cold during a pause of this process without its
   * knowing. After a while they are taken for warm, as the list may stay out of reach.
   */
  private boolean isListStale(long now) {
    boolean current = directory.isListCurrent();
    if (listWasCurrent && !current) {
      staleSinceMs = now;
    }
    listWasCurrent = current;
    return !current && now - staleSinceMs < LEARNING_MS;
  }
}
