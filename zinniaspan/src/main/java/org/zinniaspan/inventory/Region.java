package org.zinniaspan.inventory;

import java.util.List;

/**
 * A region and its availability zones.
 *
 * @param name unique name
 * @param zones names of its availability zones
 */
public record Region(String name, List<String> zones) {

  /** Replaces an absent list by an empty one. */
  public Region {
    zones = zones == null ? List.of() : List.copyOf(zones);
  }
}
