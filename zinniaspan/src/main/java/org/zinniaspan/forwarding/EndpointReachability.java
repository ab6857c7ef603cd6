package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.log.EventLog;

/**
 * Determines which endpoints this VM reaches, and whether it has a path to them at all.
 *
 * <p>An endpoint counts as unreachable from a failed connection until one is opened. The path
 * counts as lost once connections to several endpoints failed and none was opened in between, since
 * it is unlikely that these endpoints failed at the same time. Only new connections count: those
 * that are open may stay in use, or turn silent, while new ones fail. Probes open a connection and
 * send nothing: they find out that an endpoint is back, and that the path is lost while few
 * requests are sent. Not thread-safe.
 */
public final class EndpointReachability {

  /** Number of endpoints whose failed connections show that the path is lost. */
  private static final int MIN_FAILED_ENDPOINTS = 3;

  /**
   * Time after which a failed connection does not show any more that the path is lost, in
   * milliseconds.
   */
  private static final long FAILURE_AGE_MS = 5_000;

  /** Interval between two probes of an unreachable endpoint, in milliseconds. */
  private static final long ENDPOINT_PROBE_INTERVAL_MS = 1_000;

  /**
   * Time without a byte from any endpoint, while requests are in progress, after which the path is
   * probed, in milliseconds.
   */
  private static final long SILENCE_MS = 600;

  /** The same after a connection has failed, in milliseconds. */
  private static final long SILENCE_AFTER_FAILURE_MS = 200;

  /** Interval between two rounds of probes, in milliseconds. */
  private static final long PROBE_INTERVAL_MS = 250;

  /** Number of endpoints that are probed in a round. */
  private static final int PROBES_PER_ROUND = 2;

  /** Gap between two calls that is taken for a pause of this process, in milliseconds. */
  private static final long MAX_CALL_GAP_MS = 300;

  /**
   * Time after a pause in which failed connections do not count, in milliseconds: those that were
   * being opened meanwhile time out although their endpoints may have answered.
   */
  private static final long PAUSE_EFFECT_MS = 500;

  private final Clock clock;
  private final PauseDetector pauses;
  private final Random random;
  private final IntSupplier endpointCount;
  private final Map<String, Long> failedMs = new HashMap<>();
  private final Map<String, Long> probedMs = new HashMap<>();
  private long lastConnectedMs = Long.MIN_VALUE;
  private int inProgress;
  private long lastBytesMs;
  private long nextProbeMs;
  private boolean lost;
  private long lostSinceMs;

  /**
   * Creates a state in which the endpoints count as reachable.
   *
   * @param endpointCount number of endpoints that are listed
   */
  public EndpointReachability(Clock clock, Random random, IntSupplier endpointCount) {
    this.clock = clock;
    this.pauses = new PauseDetector(clock, MAX_CALL_GAP_MS);
    this.random = random;
    this.endpointCount = endpointCount;
  }

  /** Returns whether this VM reaches no endpoint. */
  public boolean isLost() {
    return lost;
  }

  /** Returns whether the last connection to an endpoint was opened, or none was tried. */
  public boolean isReachable(String endpointId) {
    return !failedMs.containsKey(endpointId);
  }

  /** Records that a request was sent to an endpoint. */
  public void onSent() {
    if (inProgress == 0) {
      lastBytesMs = clock.nowMs();
    }
    inProgress++;
  }

  /** Records that a request that was sent to an endpoint has ended. */
  public void onEnded() {
    inProgress--;
  }

  /** Records that bytes arrived from an endpoint. */
  public void onBytes() {
    lastBytesMs = clock.nowMs();
  }

  /** Records that a connection to an endpoint was opened. */
  public void onConnected(String endpointId) {
    lastBytesMs = clock.nowMs();
    lastConnectedMs = clock.nowMs();
    failedMs.remove(endpointId);
    probedMs.remove(endpointId);
    if (lost) {
      lost = false;
      EventLog.event("endpoints-reachable").with("afterMs", clock.nowMs() - lostSinceMs).info();
    }
  }

  /**
   * Records that a connection to an endpoint could not be opened; shortly after a pause of this
   * process that shows nothing.
   */
  public void onConnectFailed(String endpointId) {
    long now = clock.nowMs();
    if (pauses.pausedSince(now - PAUSE_EFFECT_MS)) {
      return;
    }
    failedMs.put(endpointId, now);
    probedMs.putIfAbsent(endpointId, now);
    int required = Math.max(1, Math.min(MIN_FAILED_ENDPOINTS, endpointCount.getAsInt()));
    if (!lost && failuresInRow(now) >= required) {
      lost = true;
      lostSinceMs = now;
      EventLog.event("endpoints-unreachable")
          .with("failed", failedMs.keySet())
          .with("lastBytesAgeMs", now - lastBytesMs)
          .with("requests", inProgress)
          .warn();
    }
  }

  /** Returns the number of endpoints that failed since the last connection was opened. */
  private long failuresInRow(long now) {
    return failedMs.values().stream()
        .filter(ms -> ms > lastConnectedMs && now - ms <= FAILURE_AGE_MS)
        .count();
  }

  /**
   * Returns the endpoints to probe now: unreachable ones from time to time, and while the path is
   * in doubt, first those that are not known to be unreachable.
   *
   * @param listing supplies all listed endpoints
   */
  public List<ListedEndpoint> nextProbes(Supplier<List<ListedEndpoint>> listing) {
    long now = clock.nowMs();
    pauses.observe();
    boolean doubtful = isDoubtful(now);
    if (now < nextProbeMs || (!doubtful && failedMs.isEmpty())) {
      return List.of();
    }
    List<ListedEndpoint> listed = listing.get();
    failedMs.keySet().retainAll(listed.stream().map(ListedEndpoint::id).toList());
    probedMs.keySet().retainAll(failedMs.keySet());
    List<ListedEndpoint> candidates = new ArrayList<>(listed);
    candidates.removeIf(e -> e.draining() || !(doubtful || isProbeDue(e.id(), now)));
    Collections.shuffle(candidates, random);
    candidates.sort(Comparator.comparing(e -> !isReachable(e.id())));
    List<ListedEndpoint> probes = candidates.stream().limit(PROBES_PER_ROUND).toList();
    if (!probes.isEmpty()) {
      nextProbeMs = now + PROBE_INTERVAL_MS;
    }
    probes.forEach(e -> probedMs.computeIfPresent(e.id(), (id, ms) -> now));
    return probes;
  }

  private boolean isProbeDue(String endpointId, long now) {
    return now - probedMs.getOrDefault(endpointId, now) >= ENDPOINT_PROBE_INTERVAL_MS;
  }

  private boolean isDoubtful(long now) {
    long silentMs = now - lastBytesMs;
    return lost
        || failuresInRow(now) > 1
        || (failuresInRow(now) > 0 && silentMs > SILENCE_AFTER_FAILURE_MS)
        || (inProgress > 0 && silentMs > SILENCE_MS);
  }
}
