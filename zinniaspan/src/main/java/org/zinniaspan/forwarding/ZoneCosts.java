package org.zinniaspan.forwarding;

import java.util.Map;
import java.util.Optional;

/**
 * Where this VM stands, and how far the other availability zones are.
 *
 * @param zone this VM's availability zone
 * @param regions region of each availability zone
 */
public record ZoneCosts(String zone, Map<String, String> regions) {

  /** Cost of another zone of the same region: a round trip, and the price of bytes, in ms. */
  private static final double ZONE_COST_MS = 12;

  /** Cost of another region: a round trip, and the price of bytes on a narrow link, in ms. */
  private static final double REGION_COST_MS = 45;

  /** Returns the cost of reaching an availability zone, in milliseconds. */
  public double costMs(String other) {
    if (other.equals(zone)) {
      return 0;
    }
    Optional<String> here = Optional.ofNullable(regions.get(zone));
    return here.isPresent() && here.equals(Optional.ofNullable(regions.get(other)))
        ? ZONE_COST_MS
        : REGION_COST_MS;
  }
}
