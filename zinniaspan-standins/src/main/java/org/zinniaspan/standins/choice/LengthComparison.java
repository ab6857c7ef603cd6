package org.zinniaspan.standins.choice;

import java.util.Random;
import org.zinniaspan.routing.MedianOutputLengthEstimator;
import org.zinniaspan.routing.OutputLengthEstimator;

/**
 * Compares estimates of the length of answers on seeded answers of classes and organisations whose
 * lengths differ.
 */
final class LengthComparison {

  private static final int ANSWERS = 20_000;
  private static final int ORGANISATIONS = 30;
  private static final String[] CLASSES = {"counter-question", "dossier", "record-flagging"};
  private static final double[] CLASS_LOG_MEDIANS = {2.9, 4.8, 2.5};
  private static final double ORGANISATION_SPREAD = 0.5;
  private static final double ANSWER_SPREAD = 0.4;
  private static final int CONSTANT = 64;

  private LengthComparison() {}

  /** Prints the mean absolute error of each way in tokens and in percent of the mean length. */
  static void print(long seed) {
    OutputLengthEstimator learned = new MedianOutputLengthEstimator();
    OutputLengthEstimator byClass = new MedianOutputLengthEstimator();
    Random random = new Random(seed);
    double[] organisations =
        random.doubles(ORGANISATIONS, -ORGANISATION_SPREAD, ORGANISATION_SPREAD).toArray();
    double[] errors = new double[3];
    double total = 0;
    for (int i = 0; i < ANSWERS; i++) {
      int c = random.nextInt(CLASSES.length);
      int o = (int) (ORGANISATIONS * Math.pow(random.nextDouble(), 2));
      double log = CLASS_LOG_MEDIANS[c] + organisations[o] + ANSWER_SPREAD * random.nextGaussian();
      int tokens = Math.max(1, (int) Math.exp(log));
      total += tokens;
      errors[0] += Math.abs(tokens - expected(learned, CLASSES[c], "org-" + o));
      errors[1] += Math.abs(tokens - expected(byClass, CLASSES[c], "all"));
      errors[2] += Math.abs(tokens - CONSTANT);
      learned.recordAnswer(CLASSES[c], "org-" + o, Simulation.MODEL, tokens);
      byClass.recordAnswer(CLASSES[c], "all", Simulation.MODEL, tokens);
    }
    String[] names = {"by class, organisation, model", "by class, model", "constant " + CONSTANT};
    System.out.printf("%n%-44s %15s %15s%n", "length estimate", "mean error", "of mean length");
    for (int way = 0; way < errors.length; way++) {
      double percent = 100 * errors[way] / total;
      System.out.printf(
          "%-44s %8.1f tokens %14.1f%%%n", names[way], errors[way] / ANSWERS, percent);
    }
  }

  private static int expected(
      OutputLengthEstimator estimates, String serviceClass, String organisation) {
    int tokens = estimates.expectedTokens(serviceClass, organisation, Simulation.MODEL);
    return tokens == 0 ? CONSTANT : tokens;
  }
}
