package org.zinniaspan.routing;

import java.util.Optional;
import org.zinniaspan.inventory.Endpoint;

/**
 * What is known of one endpoint at the time of a choice.
 *
 * @param endpoint the inventory's row
 * @param report its last load report
 * @param held slots that are lent out now
 * @param heldSinceReport slots lent since the last report was made and still held
 */
public record EndpointState(
    Endpoint endpoint, Optional<LoadReport> report, int held, int heldSinceReport) {

  /** Returns the slots that are not lent out. */
  public int free() {
    return Math.max(0, endpoint.slots() - held);
  }
}
