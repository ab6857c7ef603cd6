package org.zinniaspan.fleet;

import java.util.Collection;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.ChangeSequence;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.forwarding.RequestLimits;

/**
 * What the VMs tell each other of endpoints besides load reports.
 *
 * @param quarantine prompts that are not sent, as such prompts crashed endpoints
 * @param limits request limits that endpoints state
 * @param exchange encodes both for other VMs
 */
public record EndpointObservations(
    PromptQuarantine quarantine, RequestLimits limits, ObservationExchange exchange) {

  /**
   * Creates the components of a VM that knows nothing yet.
   *
   * @param zones all availability zones
   * @param timeOfDay time of day in milliseconds since the epoch
   */
  public static EndpointObservations create(
      FleetMembership members, Collection<String> zones, Clock clock, Clock timeOfDay) {
    ChangeSequence sequence = new ChangeSequence();
    PromptQuarantine quarantine = new PromptQuarantine(clock, sequence);
    RequestLimits limits =
        new RequestLimits(clock, timeOfDay, sequence, new MemberPermitShare(members, zones, clock));
    return new EndpointObservations(
        quarantine, limits, new ObservationExchange(sequence, quarantine, limits, clock));
  }
}
