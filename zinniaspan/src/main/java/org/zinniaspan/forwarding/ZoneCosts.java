package org.zinniaspan.forwarding;

import java.util.Map;
import java.util.Optional;

/**
 * Costs of reaching the availability zones from this VM.
 *
 * @param zone this VM's availability zone
 * @param regions region of each availability zone, by the zone's name
 */
public record ZoneCosts(String zone, Map<String, String> regions) {

  /**
   * Cost of another zone of the same region, in milliseconds: a round trip, and the price of the
   * transferred bytes.
   */
  private static final double ZONE_COST_MS = 12;

  /**
   * Cost of another region, in milliseconds: a round trip, and the price of the transferred bytes
   * on a narrow link.
   */
  private static final double REGION_COST_MS = 45;

  /**
   * Returns the cost of reaching an availability zone, in milliseconds; a zone of unknown region
   * counts as another region.
   */
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
