package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Where a request would go now, and why.
 *
 * @param route how the routing table applies to the request; empty if it does not
 * @param outcome what would happen to the request
 * @param homeRegions regions to which the request is bound; empty for all
 * @param evacuatedZones availability zones whose endpoints receive nothing
 * @param candidates all endpoints of the service, the cheapest first
 * @param ages age of each fact on which the decision rests, in milliseconds, by its name; empty if
 *     the fact is not known
 */
public record Explanation(
    Optional<RouteDecision.Routed> route,
    Outcome outcome,
    List<String> homeRegions,
    List<String> evacuatedZones,
    List<Candidate> candidates,
    Map<String, Optional<Long>> ages) {

  /** What would happen to the request. */
  public sealed interface Outcome {

    /**
     * It would be sent to an endpoint.
     *
     * @param endpoint id of the endpoint
     * @param expectedMs expected time to its first byte, in milliseconds
     */
    record Sent(String endpoint, double expectedMs) implements Outcome {}

    /**
     * It would be sent through another VM, as this one reaches none of the endpoints.
     *
     * @param vm which VM
     */
    record Relayed(String vm) implements Outcome {}

    /**
     * It would wait at this VM.
     *
     * @param reason reason code
     * @param remainingMs time until the reason may have passed, in milliseconds
     */
    record Waiting(String reason, long remainingMs) implements Outcome {}

    /**
     * It would be refused.
     *
     * @param status HTTP status code
     * @param reason reason code, as in the response
     * @param retryAfterMs delay after which the client may retry, in milliseconds, if one is stated
     */
    record Refused(int status, String reason, Optional<Long> retryAfterMs) implements Outcome {}
  }

  /**
   * An endpoint of the service.
   *
   * @param endpoint its id
   * @param zone its availability zone
   * @param exclusion reason for which it cannot receive the request; empty if it can
   * @param costMs parts of its cost, in milliseconds, by their names; empty if it is excluded
   * @param reportAgeMs age of its last load report, in milliseconds; empty if there is none
   */
  public record Candidate(
      String endpoint,
      String zone,
      Optional<String> exclusion,
      Map<String, Double> costMs,
      Optional<Long> reportAgeMs) {

    /** Returns the sum of the parts of the cost, in milliseconds. */
    public double totalMs() {
      return costMs.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }
}
