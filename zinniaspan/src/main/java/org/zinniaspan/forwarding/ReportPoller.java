package org.zinniaspan.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Polls engines for their load: often while they are loaded, seldom while they are idle.
 *
 * <p>Reports are charged for, and their number grows with the product of VMs and engines. So a rate
 * limit (token bucket) bounds the polls of each VM, and engines that are cheap to reach, such as
 * those of its own availability zone, are polled first.
 */
public final class ReportPoller implements Ticking {

  /** Interval between two reports of a loaded engine, in milliseconds. */
  private static final long LOADED_INTERVAL_MS = 350;

  /** Interval between two reports of an engine with free capacity, in milliseconds. */
  private static final long IDLE_INTERVAL_MS = 1_500;

  /** Share of an engine's slots from which it counts as loaded; so does an engine with a queue. */
  private static final double LOADED_OCCUPANCY = 0.3;

  /** Rate limit of a VM, in reports per second. */
  private static final double MAX_REPORTS_PER_SECOND = 18;

  private static final double MS_PER_SECOND = 1_000;

  private final EndpointDirectory directory;
  private final EngineReportSource reportSource;
  private final Clock clock;
  private final ZoneCosts zoneCosts;
  private final Map<String, Long> lastPollMs = new HashMap<>();
  private final Set<String> pendingPolls = new HashSet<>();
  private double rateTokens = 1;
  private long refilledMs;

  /** Creates a poller without past reports. */
  public ReportPoller(
      EndpointDirectory directory,
      EngineReportSource reportSource,
      Clock clock,
      ZoneCosts zoneCosts) {
    this.directory = directory;
    this.reportSource = reportSource;
    this.clock = clock;
    this.zoneCosts = zoneCosts;
    this.refilledMs = clock.nowMs();
  }

  /** Requests the reports that are due from the engines of a service, within the rate limit. */
  public void poll(String service) {
    long now = clock.nowMs();
    rateTokens =
        Math.min(4, rateTokens + (now - refilledMs) * MAX_REPORTS_PER_SECOND / MS_PER_SECOND);
    refilledMs = now;
    List<TrackedEndpoint> due =
        directory.ready(service).stream()
            .filter(engine -> now >= nextPollMs(engine))
            .filter(engine -> !pendingPolls.contains(engine.listed().id()))
            .sorted(Comparator.comparingDouble(e -> zoneCosts.costMs(e.listed().zone())))
            .toList();
    for (TrackedEndpoint engine : due) {
      if (rateTokens < 1) {
        return;
      }
      rateTokens--;
      requestReport(engine, now);
    }
  }

  private long nextPollMs(TrackedEndpoint engine) {
    long last = lastPollMs.getOrDefault(engine.listed().id(), 0L);
    boolean loaded = engine.occupancy() >= LOADED_OCCUPANCY || engine.reportedQueue() > 0;
    return last + (loaded ? LOADED_INTERVAL_MS : IDLE_INTERVAL_MS);
  }

  private void requestReport(TrackedEndpoint engine, long now) {
    String id = engine.listed().id();
    lastPollMs.put(id, now);
    pendingPolls.add(id);
    reportSource.read(
        engine.listed(),
        reply -> {
          pendingPolls.remove(id);
          onReply(engine, reply, now);
        });
  }

  private void onReply(TrackedEndpoint engine, Optional<EngineReport> reply, long requestedMs) {
    if (reply.isPresent()) {
      engine.onReport(reply.get(), requestedMs);
    } else {
      engine.onFailure(clock.nowMs());
      EventLog.event("report-missing").with("endpoint", engine.listed().id()).info();
    }
  }

  /** Drops the poll times of engines that are no longer listed. */
  @Override
  public void tick() {
    lastPollMs.keySet().removeIf(id -> !directory.contains(id) && !pendingPolls.contains(id));
  }
}
