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

  /** Returns the region of an availability zone, if it is known. */
  public Optional<String> region(String name) {
    return Optional.ofNullable(regions.get(name));
  }

  /**
   * Returns the cost of reaching an availability zone, in milliseconds; a zone of unknown region
   * counts as another region.
   */
  public double costMs(String other) {
    if (other.equals(zone)) {
      return 0;
    }
    return isInOwnRegion(other) ? ZONE_COST_MS : REGION_COST_MS;
  }

  /** Returns whether an availability zone is in the region of this VM's. */
  public boolean isInOwnRegion(String other) {
    return other.equals(zone) || (region(zone).isPresent() && region(zone).equals(region(other)));
  }
}
