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

/** What this process knows of one endpoint; state is guarded by this object's lock. */
final class EndpointRecord {

  private static final int MOST_FREED = 256;
  private static final double NEWEST_SHARE = 0.3;
  private static final long PACE_VALID_MS = 10_000;

  private record Freed(long heldMs, long freedMs) {}

  private final Map<String, Long> heldSinceMs = new HashMap<>();
  private final Deque<Freed> freed = new ArrayDeque<>();
  private final EndpointHealth health = new EndpointHealth();
  private final LeavingMark leaving = new LeavingMark();
  private final PrefixMemory prefixes = new PrefixMemory();
  private Optional<LoadReport> report = Optional.empty();
  private Optional<EndpointState> known = Optional.empty();
  private long knownUntilMs;
  private double observedMsPerToken;
  private long observedMs = Long.MIN_VALUE / 2;

  /** Returns the models that the last report lists, none without a report. */
  synchronized Set<String> loadedModels() {
    return report.map(LoadReport::models).orElse(Set.of());
  }

  synchronized EndpointState state(Endpoint endpoint, long nowMs) {
    boolean usable =
        known.isPresent() && known.get().endpoint() == endpoint && nowMs <= knownUntilMs;
    if (!usable) {
      known = Optional.of(derive(endpoint, nowMs));
      boolean paceIsOwn = nowMs - observedMs <= PACE_VALID_MS;
      knownUntilMs = paceIsOwn ? observedMs + PACE_VALID_MS : Long.MAX_VALUE;
    }
    return known.get();
  }

  private EndpointState derive(Endpoint endpoint, long nowMs) {
    long reportedMs = report.map(LoadReport::asOfMs).orElse(Long.MIN_VALUE);
    long since = heldSinceMs.values().stream().filter(ms -> ms > reportedMs).count();
    long gone =
        freed.stream().filter(f -> f.heldMs() <= reportedMs && f.freedMs() > reportedMs).count();
    return new EndpointState(
        endpoint,
        report,
        heldSinceMs.size(),
        (int) since,
        (int) gone,
        msPerToken(nowMs),
        false,
        prefixes);
  }

  private double msPerToken(long nowMs) {
    return nowMs - observedMs <= PACE_VALID_MS
        ? observedMsPerToken
        : report.map(LoadReport::msPerToken).orElse(0.0);
  }

  /** Returns whether the report changes what is known of the endpoint's leaving. */
  synchronized boolean report(LoadReport newer, long nowMs) {
    report = Optional.of(newer);
    known = Optional.empty();
    return leaving.onReport(newer.leaving(), newer.asOfMs(), nowMs);
  }

  synchronized void hold(LeaseRequest ask, long nowMs) {
    heldSinceMs.put(ask.attemptId(), nowMs);
    known = Optional.empty();
    health.onHold(ask.attemptId());
    prefixes.remember(ask.prefixDigests(), nowMs);
  }

  synchronized void free(String attemptId, long nowMs) {
    health.onFree(attemptId);
    known = Optional.empty();
    Long heldMs = heldSinceMs.remove(attemptId);
    if (heldMs == null) {
      return;
    }
    freed.addLast(new Freed(heldMs, nowMs));
    if (freed.size() > MOST_FREED) {
      freed.removeFirst();
    }
  }

  /** Learns from a use; returns whether it ejected the endpoint. */
  synchronized boolean observe(SlotUse use, long nowMs) {
    double pace = use.msPerToken();
    known = Optional.empty();
    if (pace > 0) {
      boolean fresh = nowMs - observedMs <= PACE_VALID_MS;
      observedMsPerToken =
          fresh ? observedMsPerToken + NEWEST_SHARE * (pace - observedMsPerToken) : pace;
      observedMs = nowMs;
    }
    return health.onUse(use, nowMs);
  }

  synchronized boolean markLeaving(long nowMs) {
    return leaving.onRefusal(nowMs);
  }

  synchronized boolean isLeaving(long nowMs) {
    return leaving.isLeaving(nowMs);
  }

  synchronized boolean isOut(long nowMs) {
    return health.isOut(nowMs);
  }

  synchronized int ejections() {
    return health.ejections();
  }
}
