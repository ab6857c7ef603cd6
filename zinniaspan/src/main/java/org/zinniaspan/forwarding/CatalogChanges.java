package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * What changed on the platform.
 *
 * @param table the newest routing table, if it changed
 * @param endpoints changes of the list of endpoints, in order
 */
public record CatalogChanges(Optional<RoutingTable> table, List<EndpointChange> endpoints) {

  /** Copies the list. */
  public CatalogChanges {
    endpoints = List.copyOf(endpoints);
  }
}
