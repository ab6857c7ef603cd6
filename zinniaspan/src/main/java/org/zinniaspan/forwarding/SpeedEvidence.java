package org.zinniaspan.forwarding;

/**
 * What the answers of one endpoint tell of its speed: the sums over the logarithms of observed
 * times, in which older observations count less. Logarithms, as speeds differ by factors.
 *
 * @param weight number of observations
 * @param sum sum of the logarithms
 * @param squares sum of their squares
 */
public record SpeedEvidence(double weight, double sum, double squares) {

  /** No observation. */
  public static final SpeedEvidence NONE = new SpeedEvidence(0, 0, 0);

  /** Largest weight, so that an endpoint that becomes slower is known after a few answers. */
  private static final double MAX_WEIGHT = 12;

  /** Returns the evidence of one observation. */
  static SpeedEvidence of(double observedMs, double weight) {
    double log = Math.log(Math.max(1, observedMs));
    return new SpeedEvidence(weight, weight * log, weight * log * log);
  }

  /** Returns the evidence of both; beyond the largest weight, this one counts less. */
  SpeedEvidence plus(SpeedEvidence newer) {
    double kept = Math.max(0, Math.min(weight, MAX_WEIGHT - newer.weight));
    SpeedEvidence older = weight <= 0 ? NONE : scaled(kept / weight);
    return new SpeedEvidence(
        older.weight + newer.weight, older.sum + newer.sum, older.squares + newer.squares);
  }

  SpeedEvidence scaled(double factor) {
    return new SpeedEvidence(factor * weight, factor * sum, factor * squares);
  }

  /** Returns the mean of the logarithms; 0 without an observation. */
  double mean() {
    return weight <= 0 ? 0 : sum / weight;
  }

  /** Returns the sum of the squared deviations from the mean. */
  double deviations() {
    return weight <= 0 ? 0 : Math.max(0, squares - sum * sum / weight);
  }

  /** Returns whether these are sums that observations can have, as other VMs send them. */
  boolean isPlausible() {
    return Double.isFinite(sum)
        && Double.isFinite(squares)
        && weight >= 0
        && weight <= MAX_WEIGHT + 1
        && squares >= 0;
  }
}
