package org.zinniaspan.forwarding;

/**
 * How far the requests that a cold endpoint gets in one second may exceed its rate.
 *
 * @param overrun factor of the rate, at least 1
 * @param slack requests besides that, at least 0
 */
public record ColdAllowance(double overrun, double slack) {

  /** Allows a cold endpoint no more than its rate. */
  public static final ColdAllowance STRICT = new ColdAllowance(1, 0);

  /** Longest time after the begin of a slot in which it may be used, in milliseconds. */
  private static final double MAX_VALIDITY_MS = 1_000;

  /** Requests below the bound that are left for wrong clocks and VMs that do not know better. */
  private static final double MARGIN = 2;

  /** Smallest share of the rate that is used, however strict the bound is. */
  private static final double MIN_SHARE = 0.25;

  private static final double MS_PER_SECOND = 1_000;

  /**
   * How often all VMs together send to a cold endpoint.
   *
   * @param perSecond slots in a second
   * @param validityMs time after the begin of a slot in which it may be used, in milliseconds
   */
  record Pace(double perSecond, long validityMs) {}

  /**
   * Returns the most requests that an endpoint may get in any second.
   *
   * @param perSecond rate that the endpoint takes
   */
  double bound(double perSecond) {
    return perSecond * overrun + slack;
  }

  /**
   * Returns the pace that keeps to the bound.
   *
   * <p>The requests of any second use slots that began in it or within the validity before, and one
   * more at most. So {@code pace * (1 + validity) + 1} must not exceed the bound.
   *
   * @param perSecond rate that the endpoint takes
   */
  Pace pace(double perSecond) {
    double most = bound(perSecond) - Math.min(MARGIN, slack / 2) - 1;
    // A slot is usable until the next one begins at least, which adds one request.
    double pace = Math.max(MIN_SHARE * perSecond, Math.min(perSecond, most - 1));
    double validityMs = MS_PER_SECOND * (most / pace - 1);
    return new Pace(pace, (long) Math.max(0, Math.min(MAX_VALIDITY_MS, validityMs)));
  }
}
