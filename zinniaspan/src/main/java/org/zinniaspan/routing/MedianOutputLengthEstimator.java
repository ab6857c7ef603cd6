package org.zinniaspan.routing;

/**
 * Expects the median length of earlier answers of the same class, organisation and model, or else
 * of the same class and model.
 */
public final class MedianOutputLengthEstimator implements OutputLengthEstimator {

  /** Most combinations of class, organisation and model that are remembered. */
  public static final int MAX_KEYS = 2_000;

  private static final int MIN_ANSWERS = 8;
  private static final double MEDIAN_RANK = 0.5;

  private final KeyedQuantiles lengths = new KeyedQuantiles(MAX_KEYS, MIN_ANSWERS);

  @Override
  public int expectedTokens(String serviceClass, String organisation, String model) {
    return lengths
        .quantile(key(serviceClass, organisation, model), MEDIAN_RANK)
        .or(() -> lengths.quantile(key(serviceClass, "", model), MEDIAN_RANK))
        .map(median -> (int) Math.round(median))
        .orElse(0);
  }

  @Override
  public void recordAnswer(String serviceClass, String organisation, String model, int tokens) {
    lengths.add(key(serviceClass, organisation, model), tokens);
    lengths.add(key(serviceClass, "", model), tokens);
  }

  private static String key(String serviceClass, String organisation, String model) {
    return serviceClass + '\n' + organisation + '\n' + model;
  }
}
