package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * What the endpoints of a service take while they are cold, as the configuration describes it.
 *
 * @param startMs time for which an endpoint is cold after it starts, in milliseconds; 0 if none
 * @param requestsPerSecond requests that a cold endpoint takes from all VMs together, above 0
 */
public record ColdSpec(long startMs, double requestsPerSecond) {

  /** Longest time for which an endpoint is taken for cold, in milliseconds. */
  public static final long MAX_COLD_MS = 600_000;

  /** Largest rate; a higher one is no limit in practice. */
  private static final double MAX_PER_SECOND = 1_000_000;

  /**
   * Returns the description for the given values.
   *
   * @return empty if there is no limit
   * @throws IllegalArgumentException if a value is negative or not finite, or the time is too long
   */
  public static Optional<ColdSpec> of(double startSeconds, double requestsPerSecond) {
    double startMs = startSeconds * 1_000;
    if (!(startMs >= 0 && startMs <= MAX_COLD_MS)) {
      throw new IllegalArgumentException(
          "cold time of " + startSeconds + " s is not in 0.." + MAX_COLD_MS / 1_000);
    }
    if (!(requestsPerSecond >= 0 && requestsPerSecond <= MAX_PER_SECOND)) {
      throw new IllegalArgumentException(
          "cold rate " + requestsPerSecond + " is not in 0.." + (long) MAX_PER_SECOND);
    }
    return requestsPerSecond > 0
        ? Optional.of(new ColdSpec(Math.round(startMs), requestsPerSecond))
        : Optional.empty();
  }
}
