package org.zinniaspan.forwarding;

/**
 * Linear regression of a time on a size in which older samples count less (exponential decay).
 *
 * <p>It starts from two prior samples, so that it has an estimate before the first real one.
 */
final class DecayingRegression {

  /** Factor on the weight of all earlier samples at each new one: about 100 samples count. */
  private static final double DECAY = 0.99;

  /** Weight of each prior sample, in real samples. */
  private static final double PRIOR_WEIGHT = 4;

  /** Smallest variance of the sizes, as a share of their squared mean, that tells a slope. */
  private static final double MIN_RELATIVE_VARIANCE = 0.01;

  private final double minSlope;
  private final double maxSlope;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double slope;

  /**
   * Creates a regression with two prior samples on one line.
   *
   * @param priorIntercept time at size 0
   * @param priorSlope time for each unit of size
   * @param priorX size of the larger prior sample; the smaller one has size 0
   * @param minSlope smallest slope that is returned
   * @param maxSlope largest slope that is returned
   */
  DecayingRegression(
      double priorIntercept, double priorSlope, double priorX, double minSlope, double maxSlope) {
    this.minSlope = minSlope;
    this.maxSlope = maxSlope;
    this.slope = priorSlope;
    add(0, priorIntercept, PRIOR_WEIGHT);
    add(priorX, priorIntercept + priorSlope * priorX, PRIOR_WEIGHT);
  }

  /** Adds a sample. */
  void add(double x, double y) {
    weight *= DECAY;
    sumX *= DECAY;
    sumY *= DECAY;
    sumXx *= DECAY;
    sumXy *= DECAY;
    add(x, y, 1);
  }

  private void add(double x, double y, double sampleWeight) {
    weight += sampleWeight;
    sumX += sampleWeight * x;
    sumY += sampleWeight * y;
    sumXx += sampleWeight * x * x;
    sumXy += sampleWeight * x * y;
    double meanX = sumX / weight;
    double variance = sumXx / weight - meanX * meanX;
    if (variance > MIN_RELATIVE_VARIANCE * meanX * meanX) {
      double covariance = sumXy / weight - meanX * sumY / weight;
      slope = Math.max(minSlope, Math.min(maxSlope, covariance / variance));
    }
  }

  /** Returns the time for each unit of size, within the bounds. */
  double slope() {
    return slope;
  }

  /** Returns the time at size 0; not negative. */
  double intercept() {
    return Math.max(0, (sumY - slope * sumX) / weight);
  }
}
