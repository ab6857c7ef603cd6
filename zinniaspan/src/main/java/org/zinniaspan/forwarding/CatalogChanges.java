package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * Changes that a watch of the catalog returned.
 *
 * @param table the newest routing table, if it changed
 * @param endpoints changes to the list of endpoints, in order
 * @param evacuations changes to the evacuated availability zones, in order
 */
public record CatalogChanges(
    Optional<RoutingTable> table, List<AtRevision> endpoints, List<ZoneEvacuation> evacuations) {

  /** Makes defensive copies of the lists. */
  public CatalogChanges {
    endpoints = List.copyOf(endpoints);
    evacuations = List.copyOf(evacuations);
  }

  /**
   * A change to the list of endpoints.
   *
   * @param revision revision of the platform's store that the change led to
   * @param change the change
   */
  public record AtRevision(StoreRevision revision, EndpointChange change) {}
}
