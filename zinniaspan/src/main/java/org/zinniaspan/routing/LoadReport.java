package org.zinniaspan.routing;

import java.util.Set;

/**
 * Load that an endpoint reports about itself; out of date by the age of the report.
 *
 * @param asOfMs time of receipt by the reader's clock, minus the age that the endpoint reports
 * @param running number of running requests
 * @param waiting number of requests in the endpoint's queue
 * @param msPerToken pace of each running request in milliseconds per token, zero if unknown
 * @param prefillTokensPerSecond prefill rate, zero if unknown
 * @param leaving whether the endpoint reports that it is leaving
 * @param models names of the loaded models
 * @param highestFencing highest fencing number that the endpoint has seen
 */
public record LoadReport(
    long asOfMs,
    int running,
    int waiting,
    double msPerToken,
    double prefillTokensPerSecond,
    boolean leaving,
    Set<String> models,
    long highestFencing) {

  /** Makes a defensive copy of the models. */
  public LoadReport {
    models = Set.copyOf(models);
  }
}
