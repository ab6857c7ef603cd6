package org.zinniaspan.routing;

/**
 * Estimates the length of an answer as the median of earlier answers.
 *
 * <p>The median is taken over the same class, organisation and model, or over the same class and
 * model if too few answers of the organisation are known.
 */
public final class MedianOutputLengthEstimator implements OutputLengthEstimator {

  /** Maximum number of keys kept; least recently used keys are evicted. */
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
