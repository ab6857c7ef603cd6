package org.zinniaspan.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;

/**
 * Tracks the state of one endpoint: slots, load report, health, leaving status and sent prefixes.
 *
 * <p>State is guarded by this object's lock.
 */
final class EndpointTracker {

  private static final int MAX_FREED_SLOTS = 256;
  private static final double PACE_SMOOTHING_FACTOR = 0.3;
  private static final long PACE_VALID_MS = 10_000;

  private record FreedSlot(long heldMs, long freedMs) {}

  private final Map<String, Long> heldSinceMs = new HashMap<>();
  private final Deque<FreedSlot> freedSlots = new ArrayDeque<>();
  private final EndpointHealth health = new EndpointHealth();
  private final LeavingStatus leaving = new LeavingStatus();
  private final PrefixCacheTracker prefixes = new PrefixCacheTracker();
  private Optional<LoadReport> report = Optional.empty();
  private Optional<EndpointSnapshot> cachedSnapshot = Optional.empty();
  private long cachedUntilMs;
  private double observedMsPerToken;
  private long paceObservedMs = Long.MIN_VALUE / 2;

  /** Returns the models in the last load report; none if there is no report. */
  synchronized Set<String> loadedModels() {
    return report.map(LoadReport::models).orElse(Set.of());
  }

  /** Returns the endpoint's state, cached until an event or the age of the pace changes it. */
  synchronized EndpointSnapshot snapshot(Endpoint endpoint, long nowMs) {
    boolean usable =
        cachedSnapshot.isPresent()
            && cachedSnapshot.get().endpoint() == endpoint
            && nowMs <= cachedUntilMs;
    if (!usable) {
      cachedSnapshot = Optional.of(computeSnapshot(endpoint, nowMs));
      boolean paceIsObserved = nowMs - paceObservedMs <= PACE_VALID_MS;
      cachedUntilMs = paceIsObserved ? paceObservedMs + PACE_VALID_MS : Long.MAX_VALUE;
    }
    return cachedSnapshot.get();
  }

  private EndpointSnapshot computeSnapshot(Endpoint endpoint, long nowMs) {
    long reportedMs = report.map(LoadReport::asOfMs).orElse(Long.MIN_VALUE);
    long heldSinceReport = heldSinceMs.values().stream().filter(ms -> ms > reportedMs).count();
    long freedSinceReport =
        freedSlots.stream()
            .filter(f -> f.heldMs() <= reportedMs && f.freedMs() > reportedMs)
            .count();
    return new EndpointSnapshot(
        endpoint,
        report,
        heldSinceMs.size(),
        (int) heldSinceReport,
        (int) freedSinceReport,
        msPerToken(nowMs),
        false,
        prefixes);
  }

  private double msPerToken(long nowMs) {
    return nowMs - paceObservedMs <= PACE_VALID_MS
        ? observedMsPerToken
        : report.map(LoadReport::msPerToken).orElse(0.0);
  }

  /** Records a load report; returns whether it changes the leaving status. */
  synchronized boolean report(LoadReport newer, long nowMs) {
    report = Optional.of(newer);
    cachedSnapshot = Optional.empty();
    return leaving.onReport(newer.leaving(), newer.asOfMs(), nowMs);
  }

  synchronized void recordSlotHeld(LeaseRequest request, long nowMs) {
    heldSinceMs.put(request.attemptId(), nowMs);
    cachedSnapshot = Optional.empty();
    health.onSlotHeld(request.attemptId());
    prefixes.recordSent(request.prefixDigests(), nowMs);
  }

  synchronized void recordSlotFreed(String attemptId, long nowMs) {
    health.onSlotFreed(attemptId);
    cachedSnapshot = Optional.empty();
    Long heldMs = heldSinceMs.remove(attemptId);
    if (heldMs == null) {
      return;
    }
    freedSlots.addLast(new FreedSlot(heldMs, nowMs));
    if (freedSlots.size() > MAX_FREED_SLOTS) {
      freedSlots.removeFirst();
    }
  }

  /** Records the result of an attempt; returns whether it ejects the endpoint. */
  synchronized boolean recordUse(SlotUse use, long nowMs) {
    double pace = use.msPerToken();
    cachedSnapshot = Optional.empty();
    if (pace > 0) {
      boolean fresh = nowMs - paceObservedMs <= PACE_VALID_MS;
      observedMsPerToken =
          fresh ? observedMsPerToken + PACE_SMOOTHING_FACTOR * (pace - observedMsPerToken) : pace;
      paceObservedMs = nowMs;
    }
    return health.onUse(use, nowMs);
  }

  synchronized boolean markLeaving(long nowMs) {
    return leaving.onRefusal(nowMs);
  }

  synchronized boolean isLeaving(long nowMs) {
    return leaving.isLeaving(nowMs);
  }

  synchronized boolean isBlocked(long nowMs) {
    return health.isBlocked(nowMs);
  }

  synchronized int ejections() {
    return health.ejections();
  }
}
