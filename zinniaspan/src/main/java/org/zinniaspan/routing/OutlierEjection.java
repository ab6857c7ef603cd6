package org.zinniaspan.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Outlier ejection: removes failing and slow endpoints from a pool, but never more than half of it.
 *
 * <p>If more than half of the pool are outliers, those with the lowest penalty stay in it.
 */
final class OutlierEjection {

  /**
   * Multiple of the pool's lower median of milliseconds per token above which an endpoint is an
   * outlier.
   */
  static final double STRAGGLER_FACTOR = 3;

  /** An endpoint and its penalty: zero for a healthy one, higher for a worse one. */
  record ScoredEndpoint(EndpointSnapshot snapshot, double penalty) {}

  private OutlierEjection() {}

  /**
   * Returns the endpoints that stay in the pool; outliers that stay only because at least half of
   * the pool must are marked as suspect.
   */
  static List<EndpointSnapshot> retain(List<ScoredEndpoint> pool) {
    double limit = STRAGGLER_FACTOR * lowerMedianMsPerToken(pool);
    List<ScoredEndpoint> outliers = new ArrayList<>();
    List<EndpointSnapshot> kept = new ArrayList<>();
    for (ScoredEndpoint scored : pool) {
      double pace = scored.snapshot().msPerToken();
      if (scored.penalty() > 0) {
        outliers.add(scored);
      } else if (limit > 0 && pace > limit) {
        outliers.add(new ScoredEndpoint(scored.snapshot(), pace / limit / pool.size()));
      } else {
        kept.add(scored.snapshot());
      }
    }
    outliers.sort(Comparator.comparingDouble(ScoredEndpoint::penalty));
    int minKept = (pool.size() + 1) / 2;
    outliers.stream()
        .limit(Math.max(0, minKept - kept.size()))
        .forEach(scored -> kept.add(scored.snapshot().asSuspect()));
    return kept;
  }

  private static double lowerMedianMsPerToken(List<ScoredEndpoint> pool) {
    double[] msPerToken =
        pool.stream()
            .mapToDouble(scored -> scored.snapshot().msPerToken())
            .filter(pace -> pace > 0)
            .sorted()
            .toArray();
    return msPerToken.length < 2 ? 0 : msPerToken[(msPerToken.length - 1) / 2];
  }
}
