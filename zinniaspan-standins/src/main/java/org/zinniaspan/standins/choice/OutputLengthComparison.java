package org.zinniaspan.standins.choice;

import java.util.Random;
import org.zinniaspan.routing.MedianOutputLengthEstimator;
import org.zinniaspan.routing.OutputLengthEstimator;

/**
 * Compares estimators of the answer length on seeded random answers, whose length depends on the
 * class and the organisation.
 */
final class OutputLengthComparison {

  private static final int ANSWER_COUNT = 20_000;
  private static final int ORGANISATION_COUNT = 30;
  private static final String[] CLASSES = {"counter-question", "dossier", "record-flagging"};
  private static final double[] CLASS_LOG_MEDIANS = {2.9, 4.8, 2.5};
  private static final double ORGANISATION_LOG_SPREAD = 0.5;
  private static final double ANSWER_LOG_SIGMA = 0.4;
  private static final int CONSTANT_ESTIMATE_TOKENS = 64;

  private OutputLengthComparison() {}

  /**
   * Prints the mean absolute error of each estimator, in tokens and in percent of the mean length.
   */
  static void print(long seed) {
    OutputLengthEstimator byOrganisation = new MedianOutputLengthEstimator();
    OutputLengthEstimator byClass = new MedianOutputLengthEstimator();
    Random random = new Random(seed);
    double[] organisationLogOffsets =
        random
            .doubles(ORGANISATION_COUNT, -ORGANISATION_LOG_SPREAD, ORGANISATION_LOG_SPREAD)
            .toArray();
    double[] errors = new double[3];
    double total = 0;
    for (int i = 0; i < ANSWER_COUNT; i++) {
      int classIndex = random.nextInt(CLASSES.length);
      int organisationIndex = (int) (ORGANISATION_COUNT * Math.pow(random.nextDouble(), 2));
      double logTokens =
          CLASS_LOG_MEDIANS[classIndex]
              + organisationLogOffsets[organisationIndex]
              + ANSWER_LOG_SIGMA * random.nextGaussian();
      int tokens = Math.max(1, (int) Math.exp(logTokens));
      total += tokens;
      errors[0] +=
          Math.abs(
              tokens
                  - estimateOrConstant(
                      byOrganisation, CLASSES[classIndex], "org-" + organisationIndex));
      errors[1] += Math.abs(tokens - estimateOrConstant(byClass, CLASSES[classIndex], "all"));
      errors[2] += Math.abs(tokens - CONSTANT_ESTIMATE_TOKENS);
      byOrganisation.recordAnswer(
          CLASSES[classIndex], "org-" + organisationIndex, ChoiceSimulation.MODEL, tokens);
      byClass.recordAnswer(CLASSES[classIndex], "all", ChoiceSimulation.MODEL, tokens);
    }
    String[] names = {
      "by class, organisation, model", "by class, model", "constant " + CONSTANT_ESTIMATE_TOKENS
    };
    System.out.printf("%n%-44s %15s %15s%n", "length estimate", "mean error", "of mean length");
    for (int index = 0; index < errors.length; index++) {
      double percent = 100 * errors[index] / total;
      System.out.printf(
          "%-44s %8.1f tokens %14.1f%%%n", names[index], errors[index] / ANSWER_COUNT, percent);
    }
  }

  /** Returns the estimate, or the constant while the estimator has too few answers for one. */
  private static int estimateOrConstant(
      OutputLengthEstimator estimator, String serviceClass, String organisation) {
    int tokens = estimator.expectedTokens(serviceClass, organisation, ChoiceSimulation.MODEL);
    return tokens == 0 ? CONSTANT_ESTIMATE_TOKENS : tokens;
  }
}
