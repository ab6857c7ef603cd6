package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * Determines whether this VM has a path to the endpoints at all.
 *
 * <p>The path counts as lost once connections to several endpoints failed and none was opened in
 * between, since it is unlikely that these endpoints failed at the same time. Only new connections
 * count: those that are open may live on, or may stay silent, while new ones fail. A VM that sends
 * few requests finds out by probes, which open a connection and send nothing. Not thread-safe.
 */
public final class EndpointReachability {

  /** Number of endpoints whose failed connections show that the path is lost. */
  private static final int MIN_FAILED_ENDPOINTS = 3;

  /** Time after which a failed connection does not count any more, in milliseconds. */
  private static final long FAILURE_AGE_MS = 5_000;

  /**
   * Time without a byte from any endpoint, while requests are in progress, after which the path is
   * probed, in milliseconds.
   */
  private static final long SILENCE_MS = 600;

  /** The same after a connection has failed. */
  private static final long SILENCE_AFTER_FAILURE_MS = 200;

  /** Interval between two rounds of probes, in milliseconds. */
  private static final long PROBE_INTERVAL_MS = 250;

  /** Number of endpoints that are probed in a round. */
  private static final int PROBES_PER_ROUND = 2;

  private final Clock clock;
  private final Random random;
  private final IntSupplier endpointCount;
  private final Map<String, Long> failedMs = new HashMap<>();
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
    this.random = random;
    this.endpointCount = endpointCount;
  }

  /** Returns whether this VM reaches no endpoint. */
  public boolean isLost() {
    return lost;
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
  public void onConnected() {
    lastBytesMs = clock.nowMs();
    failedMs.clear();
    if (lost) {
      lost = false;
      EventLog.event("endpoints-reachable").with("afterMs", clock.nowMs() - lostSinceMs).info();
    }
  }

  /** Records that a connection to an endpoint could not be opened. */
  public void onConnectFailed(String endpointId) {
    long now = clock.nowMs();
    failedMs.put(endpointId, now);
    failedMs.values().removeIf(ms -> now - ms > FAILURE_AGE_MS);
    int required = Math.max(1, Math.min(MIN_FAILED_ENDPOINTS, endpointCount.getAsInt()));
    if (!lost && failedMs.size() >= required) {
      lost = true;
      lostSinceMs = now;
      EventLog.event("endpoints-unreachable")
          .with("failed", failedMs.keySet())
          .with("lastBytesAgeMs", now - lastBytesMs)
          .with("requests", inProgress)
          .warn();
    }
  }

  /** Returns the endpoints to probe now: first those whose connections have not failed lately. */
  public List<ListedEndpoint> nextProbes(Collection<ListedEndpoint> listed) {
    long now = clock.nowMs();
    if (now < nextProbeMs || !isDoubtful(now)) {
      return List.of();
    }
    nextProbeMs = now + PROBE_INTERVAL_MS;
    List<ListedEndpoint> candidates = new ArrayList<>(listed);
    candidates.removeIf(ListedEndpoint::draining);
    Collections.shuffle(candidates, random);
    candidates.sort(
        (a, b) -> Boolean.compare(failedMs.containsKey(a.id()), failedMs.containsKey(b.id())));
    return candidates.stream().limit(PROBES_PER_ROUND).toList();
  }

  private boolean isDoubtful(long now) {
    long silentMs = now - lastBytesMs;
    return lost
        || failedMs.size() > 1
        || (!failedMs.isEmpty() && silentMs > SILENCE_AFTER_FAILURE_MS)
        || (inProgress > 0 && silentMs > SILENCE_MS);
  }
}
