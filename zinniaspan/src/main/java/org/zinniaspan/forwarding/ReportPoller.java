package org.zinniaspan.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Polls engines for their load: often while they are loaded, seldom while they are idle.
 *
 * <p>Reports are charged for, and their number grows with the product of VMs and engines. So one VM
 * polls an engine for the others, and a VM that gets its reports from another one polls an engine
 * only when they stay away. A rate limit (token bucket) bounds the polls of each VM, and engines
 * that are cheap to reach, such as those of its own availability zone, are polled first.
 */
public final class ReportPoller implements Ticking {

  /** Interval between two reports of a loaded engine, in milliseconds. */
  private static final long LOADED_INTERVAL_MS = 350;

  /** Interval between two reports of an engine with free capacity, in milliseconds. */
  private static final long IDLE_INTERVAL_MS = 1_500;

  /** Share of an engine's slots from which it counts as loaded; so does an engine with a queue. */
  private static final double LOADED_OCCUPANCY = 0.3;

  /** Time for which the VM of rank 1 waits for the reports of the observer, in milliseconds. */
  private static final long FIRST_DEPUTY_DELAY_MS = 700;

  /** Addition to that time for each further rank, in milliseconds. */
  private static final long NEXT_DEPUTY_DELAY_MS = 300;

  /** Rank from which all VMs wait for the same time; its polls come before a report is stale. */
  private static final int LAST_DEPUTY_RANK = 3;

  /** Rate limit of a VM, in reports per second. */
  private static final double MAX_REPORTS_PER_SECOND = 18;

  private static final double MS_PER_SECOND = 1_000;

  private final EndpointDirectory directory;
  private final EngineReportSource reportSource;
  private final Clock clock;
  private final ZoneCosts zoneCosts;
  private final ToIntFunction<String> observerRank;
  private final ReportListener listener;
  private final Map<String, Long> lastPollMs = new HashMap<>();
  private final Set<String> pendingPolls = new HashSet<>();
  private double rateTokens = 1;
  private long refilledMs;

  /** Receives each report that this VM polled. */
  public interface ReportListener {

    /**
     * Called with a new report.
     *
     * @param requestedMs time at which the report was requested, in milliseconds
     */
    void onReport(ListedEndpoint engine, EngineReport report, long requestedMs);
  }

  /**
   * Creates a poller without past reports.
   *
   * @param observerRank rank of this VM among those that may poll the engines of an availability
   *     zone; 0 polls them for the others
   * @param listener receives the reports
   */
  public ReportPoller(
      EndpointDirectory directory,
      EngineReportSource reportSource,
      Clock clock,
      ZoneCosts zoneCosts,
      ToIntFunction<String> observerRank,
      ReportListener listener) {
    this.observerRank = observerRank;
    this.listener = listener;
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
            .filter(engine -> isDue(engine, now))
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

  /** Returns whether an engine is polled now; mostly the time since its last report decides. */
  private boolean isDue(TrackedEndpoint engine, long now) {
    long last = Math.max(lastPollMs.getOrDefault(engine.listed().id(), 0L), engine.lastReportMs());
    if (now < last + LOADED_INTERVAL_MS) {
      return false;
    }
    boolean loaded = engine.occupancy() >= LOADED_OCCUPANCY || engine.reportedQueue() > 0;
    long nextMs = last + (loaded ? LOADED_INTERVAL_MS : IDLE_INTERVAL_MS);
    return now >= nextMs && now >= nextMs + delayMs(engine.listed().zone());
  }

  private long delayMs(String zone) {
    int rank = Math.min(LAST_DEPUTY_RANK, observerRank.applyAsInt(zone));
    return rank == 0 ? 0 : FIRST_DEPUTY_DELAY_MS + (rank - 1) * NEXT_DEPUTY_DELAY_MS;
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
      listener.onReport(engine.listed(), reply.get(), requestedMs);
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
