package org.zinniaspan.routing;

/** Estimates the length of answers in tokens. */
public interface OutputLengthEstimator {

  /**
   * Returns the expected length of an answer in tokens, zero if there is no estimate.
   *
   * @param serviceClass name of the service class
   * @param organisation name of the organisation
   * @param model name of the model
   */
  int expectedTokens(String serviceClass, String organisation, String model);

  /** Records the length of a complete answer. */
  void recordAnswer(String serviceClass, String organisation, String model, int tokens);

  /** Returns an estimator that always gives the same length; zero means no estimate. */
  static OutputLengthEstimator constant(int tokens) {
    return new OutputLengthEstimator() {
      @Override
      public int expectedTokens(String serviceClass, String organisation, String model) {
        return tokens;
      }

      @Override
      public void recordAnswer(String serviceClass, String organisation, String model, int length) {
        // The estimate is constant.
      }
    };
  }
}
