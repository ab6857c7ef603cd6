package org.zinniaspan.routing;

import java.util.Optional;
import org.zinniaspan.inventory.Endpoint;

/**
 * What is known of one endpoint at the time of a choice.
 *
 * @param endpoint the inventory's row
 * @param report its last load report
 * @param heldSlots slots that are lent out now
 * @param heldSinceReport slots lent since the last report was made and still held
 * @param freedSinceReport slots lent before the last report was made and given back since
 * @param msPerToken its pace in milliseconds between tokens, by own observation if that is recent,
 *     else as reported; zero if not known
 * @param suspect whether it is a candidate only because too few others are left
 * @param prefixes prompt prefixes that were sent to it
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

  /** Creates a state of which nothing more is known. */
  public EndpointSnapshot(
      Endpoint endpoint, Optional<LoadReport> report, int held, int heldSinceReport) {
    this(endpoint, report, held, heldSinceReport, 0, 0, false, new PrefixCacheTracker());
  }

  /** Returns the slots that are not lent out. */
  public int freeSlots() {
    return Math.max(0, endpoint.slots() - heldSlots);
  }

  /** Returns the requests at the endpoint: reported ones, corrected for what happened since. */
  public int load() {
    int reported = report.map(last -> last.running() + last.waiting()).orElse(0);
    return Math.max(heldSlots, reported - freedSinceReport + heldSinceReport);
  }

  /** Returns a copy that is a candidate only because too few others are left. */
  EndpointSnapshot asSuspect() {
    return new EndpointSnapshot(
        endpoint, report, heldSlots, heldSinceReport, freedSinceReport, msPerToken, true, prefixes);
  }
}
