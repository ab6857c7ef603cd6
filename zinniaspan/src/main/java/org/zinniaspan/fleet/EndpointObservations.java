package org.zinniaspan.fleet;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.AssignedSlots;
import org.zinniaspan.forwarding.ChangeSequence;
import org.zinniaspan.forwarding.PermitShare;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.forwarding.RejectionLimits;
import org.zinniaspan.forwarding.RequestLimits;
import org.zinniaspan.forwarding.SendLimit;
import org.zinniaspan.forwarding.SendLimits;

/**
 * What the VMs tell each other of endpoints besides load reports.
 *
 * @param quarantine prompts that are not sent, as such prompts crashed endpoints
 * @param limits limits on what all VMs send together that endpoints state
 * @param exchange encodes them for other VMs
 */
public record EndpointObservations(
    PromptQuarantine quarantine, SendLimits limits, ObservationExchange exchange) {

  /**
   * Creates the components of a VM that knows nothing yet.
   *
   * @param zones all availability zones
   * @param timeOfDay time of day in milliseconds since the epoch
   * @param slotMs returns the mean time for which a request occupies a slot of an endpoint, in
   *     milliseconds, by the service's name
   */
  public static EndpointObservations create(
      FleetMembership members,
      Collection<String> zones,
      Clock clock,
      Clock timeOfDay,
      ToDoubleFunction<String> slotMs) {
    ChangeSequence sequence = new ChangeSequence();
    PromptQuarantine quarantine = new PromptQuarantine(clock, sequence);
    MemberPermitShare share = new MemberPermitShare(members, zones, clock);
    SendLimits limits =
        new SendLimits(
            new RequestLimits(clock, timeOfDay, sequence, share),
            new RejectionLimits(clock, timeOfDay, sequence, share, slotMs));
    return new EndpointObservations(
        quarantine, limits, new ObservationExchange(sequence, quarantine, limits, clock));
  }

  /** Returns these components with limits that also concern cold endpoints. */
  public EndpointObservations withOtherLimits(List<SendLimit> others) {
    return new EndpointObservations(quarantine, limits.withOthers(others), exchange);
  }

  /** Returns the share of a VM in what cold endpoints take. */
  public static Supplier<PermitShare> coldShare(
      FleetMembership members, Collection<String> zones, Clock clock) {
    return new ColdPermitShare(members, zones, clock);
  }

  /** Returns these components with limits that also heed the slots that VMs assign each other. */
  public EndpointObservations withSlots(AssignedSlots slots) {
    return new EndpointObservations(quarantine, limits.withSlots(slots), exchange);
  }
}
