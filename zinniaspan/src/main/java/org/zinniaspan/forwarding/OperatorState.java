package org.zinniaspan.forwarding;

import java.util.Optional;
import java.util.Set;

/**
 * What the platform's operators have published, as of one revision of the platform's store.
 *
 * @param table the routing table; empty if none was published
 * @param evacuatedZones availability zones whose evacuation is requested
 */
public record OperatorState(Optional<RoutingTable> table, Set<String> evacuatedZones) {

  /** Makes a defensive copy of the set. */
  public OperatorState {
    evacuatedZones = Set.copyOf(evacuatedZones);
  }
}
