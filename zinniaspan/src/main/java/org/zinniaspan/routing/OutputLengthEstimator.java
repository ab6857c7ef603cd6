package org.zinniaspan.routing;

/** Estimates how long answers will be. */
public interface OutputLengthEstimator {

  /**
   * Returns the expected length of an answer in tokens, zero if nothing is known.
   *
   * @param serviceClass name of the class
   * @param organisation name of the organisation
   * @param model name of the model
   */
  int expectedTokens(String serviceClass, String organisation, String model);

  /** Learns from a whole answer. */
  void recordAnswer(String serviceClass, String organisation, String model, int tokens);

  /** Returns estimates that are always the same. */
  static OutputLengthEstimator constant(int tokens) {
    return new OutputLengthEstimator() {
      @Override
      public int expectedTokens(String serviceClass, String organisation, String model) {
        return tokens;
      }

      @Override
      public void recordAnswer(String serviceClass, String organisation, String model, int length) {
        // A constant learns nothing.
      }
    };
  }
}
