package org.zinniaspan.routing;

import java.util.Set;

/**
 * What an endpoint says of its load; it lags behind reality.
 *
 * @param asOfMs time of receipt by the reader's clock, minus the age that the endpoint states
 * @param running requests that run
 * @param waiting requests that wait in the endpoint
 * @param msPerToken pace of each running request in milliseconds between tokens, zero if unknown
 * @param prefillTokensPerSecond pace at which prompts are read, zero if unknown
 * @param leaving whether the endpoint says that it leaves
 * @param models models that are loaded
 * @param highestFencing highest fencing number that it has seen
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

  /** Copies the models. */
  public LoadReport {
    models = Set.copyOf(models);
  }
}
