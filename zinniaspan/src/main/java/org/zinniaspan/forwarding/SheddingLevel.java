package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;

/**
 * The share of each rank's requests to one service that gives way to more urgent ones.
 *
 * <p>It answers more urgent requests that are late at any VM. The least urgent rank gives way
 * first, within half a second; the next one follows only when it gives way altogether. All VMs with
 * the same view get the same shares. Not thread-safe.
 */
final class SheddingLevel {

  /** Share of late requests that is borne before less urgent ones give way. */
  private static final double BORNE_LATE_SHARE = 0.08;

  /** Share of late requests at which less urgent ones give way altogether. */
  private static final double FULL_LATE_SHARE = 0.5;

  /**
   * Time for which a rank gives way altogether before the next one does, in milliseconds: what was
   * admitted before takes about as long.
   */
  private static final long SETTLING_MS = 1_500;

  /** Time in which a rank gives way altogether, in milliseconds. */
  private static final double CLOSING_MS = 500;

  /** Time in which a rank that gave way altogether is let in again, in milliseconds. */
  private static final double OPENING_MS = 2_000;

  /** Time without a request after which all are let in again, in milliseconds. */
  private static final long FORGET_MS = 2_000;

  /** Decayed requests of a rank below which their share of late ones tells nothing. */
  private static final double MIN_OFFERED = 3;

  private final String service;
  private final Clock clock;
  private final Map<Integer, Double> shares = new HashMap<>();
  private final Map<Integer, Long> closedSinceMs = new HashMap<>();
  private long updatedMs;

  SheddingLevel(String service, Clock clock) {
    this.service = service;
    this.clock = clock;
    this.updatedMs = clock.nowMs();
  }

  /** Returns the share of a rank's requests that are refused, by the view of all VMs. */
  double share(PressureDemand view, int rank) {
    update(view);
    return shares.getOrDefault(rank, 0.0);
  }

  private void update(PressureDemand view) {
    long now = clock.nowMs();
    long step = now - updatedMs;
    if (step <= 0) {
      return;
    }
    updatedMs = now;
    if (step > FORGET_MS) {
      shares.clear();
      closedSinceMs.clear();
      return;
    }
    shares.keySet().removeIf(rank -> !view.ranks().containsKey(rank));
    boolean mayYield = true;
    for (int rank : view.ranks().keySet().stream().sorted((a, b) -> b - a).toList()) {
      double late = view.lateShareAbove(rank, MIN_OFFERED);
      double goal = mayYield ? (late - BORNE_LATE_SHARE) / (FULL_LATE_SHARE - BORNE_LATE_SHARE) : 0;
      double known = shares.getOrDefault(rank, 0.0);
      double share = Math.max(known - step / OPENING_MS, Math.min(known + step / CLOSING_MS, goal));
      share = Math.max(0, Math.min(1, share));
      logChange(rank, shares.put(rank, share), share, late);
      if (share < 1) {
        closedSinceMs.remove(rank);
      }
      long closedMs = now - closedSinceMs.computeIfAbsent(rank, key -> now);
      mayYield = share >= 1 && closedMs >= SETTLING_MS;
    }
  }

  private void logChange(int rank, Double before, double share, double late) {
    boolean yielded = before != null && before > 0;
    if (yielded != share > 0) {
      EventLog.event(yielded ? "rank-let-in" : "rank-yields")
          .with("service", service)
          .with("rank", rank)
          .with("latePercent", Math.round(100 * late))
          .info();
    }
  }
}
