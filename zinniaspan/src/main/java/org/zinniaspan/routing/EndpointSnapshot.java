package org.zinniaspan.routing;

import java.util.Optional;
import org.zinniaspan.inventory.Endpoint;

/**
 * Immutable state of one endpoint at the time of a routing decision, except for its prefixes.
 *
 * @param endpoint entry in the inventory
 * @param report last load report, empty if none was received
 * @param heldSlots slots that are held now
 * @param heldSinceReport slots taken since the time of the last report and still held
 * @param freedSinceReport slots taken before the time of the last report and released since
 * @param msPerToken pace in milliseconds per token, as observed by this process if that is recent,
 *     else as reported; zero if unknown
 * @param suspect whether it is an outlier and a candidate only because too few others are left
 * @param prefixes prompt prefixes that were sent to it; shared with the tracker, so it changes
 */
public record EndpointSnapshot(
    Endpoint endpoint,
    Optional<LoadReport> report,
    int heldSlots,
    int heldSinceReport,
    int freedSinceReport,
    double msPerToken,
    boolean suspect,
    PrefixCacheTracker prefixes) {

  /** Creates a snapshot without released slots, observed pace or prefixes. */
  public EndpointSnapshot(
      Endpoint endpoint, Optional<LoadReport> report, int held, int heldSinceReport) {
    this(endpoint, report, held, heldSinceReport, 0, 0, false, new PrefixCacheTracker());
  }

  /** Returns the number of slots that are not held. */
  public int freeSlots() {
    return Math.max(0, endpoint.slots() - heldSlots);
  }

  /**
   * Returns the estimated number of requests at the endpoint: those reported, adjusted for the
   * slots taken and released since, but no less than the held slots.
   */
  public int load() {
    int reported = report.map(last -> last.running() + last.waiting()).orElse(0);
    return Math.max(heldSlots, reported - freedSinceReport + heldSinceReport);
  }

  /** Returns a copy that is marked as suspect. */
  EndpointSnapshot asSuspect() {
    return new EndpointSnapshot(
        endpoint, report, heldSlots, heldSinceReport, freedSinceReport, msPerToken, true, prefixes);
  }
}
