package org.zinniaspan.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises requests of callers that come back after a refusal: they have less time left than the
 * others on their route. So any VM recognises them, whichever one refused them. Not thread-safe.
 */
public final class ReturningRequests {

  /** Share of the usual time below which a request counts as one that came back. */
  private static final double RETURNING_SHARE = 0.9;

  /** Factor on the usual time at each request, so that it follows shorter deadlines. */
  private static final double DECAY = 0.998;

  /** Largest number of routes that are kept; the least recently used are dropped. */
  private static final int MAX_ROUTES = 1_000;

  private final Map<String, Double> usualMsByRoute =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  /** Creates a state that knows no usual times. */
  public ReturningRequests() {}

  /**
   * Returns whether a request comes from a caller that was refused before.
   *
   * @param limitMs time that its caller gave it, in milliseconds
   */
  public boolean isReturning(String route, long limitMs) {
    double usualMs = usualMsByRoute.getOrDefault(route, 0.0);
    usualMsByRoute.put(route, Math.max(limitMs, usualMs * DECAY));
    return limitMs < RETURNING_SHARE * usualMs;
  }
}
