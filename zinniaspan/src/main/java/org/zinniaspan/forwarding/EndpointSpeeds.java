package org.zinniaspan.forwarding;

import java.util.List;

/**
 * How much slower or faster than the mean each endpoint of a service is.
 *
 * <p>It answers load on endpoints of unlike speed: chosen by one speed for all, the slow ones get
 * as many requests as the others, and their callers wait longer. An endpoint's factor is drawn to
 * the mean while its evidence is thin, and the more so the less the endpoints of the service differ
 * beyond what chance would give (empirical Bayes). So endpoints of equal speed keep a factor near
 * 1.
 */
final class EndpointSpeeds {

  /** Variance of an observation's logarithm that is assumed before there are enough of them. */
  private static final double PRIOR_VARIANCE = 0.1;

  /** Observations that the assumed variance counts for. */
  private static final double PRIOR_WEIGHT = 4;

  /** Least evidence of an endpoint that tells how much endpoints differ. */
  private static final double MIN_WEIGHT = 0.8;

  /** Number of standard errors by which endpoints have to differ more than by chance. */
  private static final double SIGNIFICANCE = 2;

  /** Largest factor in either direction. */
  private static final double MAX_FACTOR = 4;

  private final double mean;
  private final double variance;
  private final double spread;

  private EndpointSpeeds(double mean, double variance, double spread) {
    this.mean = mean;
    this.variance = variance;
    this.spread = spread;
  }

  /** Returns the speeds by the evidence of all endpoints of a service. */
  static EndpointSpeeds of(List<SpeedEvidence> endpoints) {
    double weight = 0;
    double sum = 0;
    double deviations = PRIOR_WEIGHT * PRIOR_VARIANCE;
    double freedom = PRIOR_WEIGHT;
    int known = 0;
    double sumOfMeans = 0;
    double inverseWeights = 0;
    for (SpeedEvidence endpoint : endpoints) {
      weight += endpoint.weight();
      sum += endpoint.sum();
      deviations += endpoint.deviations();
      freedom += Math.max(0, endpoint.weight() - 1);
      if (endpoint.weight() >= MIN_WEIGHT) {
        known++;
        sumOfMeans += endpoint.mean();
        inverseWeights += 1 / endpoint.weight();
      }
    }
    double variance = deviations / freedom;
    double mean = weight <= 0 ? 0 : sum / weight;
    if (known < 2) {
      return new EndpointSpeeds(mean, variance, 0);
    }
    double meanOfMeans = sumOfMeans / known;
    double squares = 0;
    for (SpeedEvidence endpoint : endpoints) {
      if (endpoint.weight() >= MIN_WEIGHT) {
        squares += Math.pow(endpoint.mean() - meanOfMeans, 2);
      }
    }
    double byChance = variance * inverseWeights / known;
    double error = Math.sqrt(2.0 / (known - 1));
    double spread = squares / (known - 1) - byChance * (1 + SIGNIFICANCE * error);
    return new EndpointSpeeds(mean, variance, Math.max(0, spread));
  }

  /** Returns the time that an endpoint takes, as a multiple of what the mean endpoint takes. */
  double factor(SpeedEvidence endpoint) {
    if (spread <= 0 || endpoint.weight() <= 0) {
      return 1;
    }
    double trust = spread / (spread + variance / endpoint.weight());
    double factor = Math.exp(trust * (endpoint.mean() - mean));
    return Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, factor));
  }
}
