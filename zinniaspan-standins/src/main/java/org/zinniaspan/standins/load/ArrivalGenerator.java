package org.zinniaspan.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Generates the arrivals of an open-loop run; the same workload and profile give the same arrivals.
 *
 * <p>Each kind of request is a Poisson process with a random generator of its own, so that a burst
 * of one class leaves the arrivals of the others unchanged. Organisations follow a Zipf
 * distribution, answer lengths a log-normal distribution.
 */
final class ArrivalGenerator {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final double ANSWER_LENGTH_LOG_SIGMA = 0.8;
  private static final int MIN_ANSWER_TOKENS = 4;
  private static final int MAX_ANSWER_TO_MEAN_RATIO = 6;

  private ArrivalGenerator() {}

  /** Returns the arrivals of all kinds, ordered by time. */
  static List<Arrival> generate(Workload workload, LoadProfile profile) {
    List<Arrival> arrivals = new ArrayList<>();
    double[] organisations = cumulativeZipfShares(profile.organisations());
    for (RequestKind kind : workload.kinds()) {
      Random random = new Random(profile.seed() * 31 + kind.serviceClass().hashCode());
      double atMs = drawInterarrivalMs(random, profile, kind, 0);
      while (atMs < profile.durationMs()) {
        int organisation = indexFor(organisations, random.nextDouble());
        int tokens = kind.chat().map(chat -> drawAnswerTokens(random, chat.meanTokens())).orElse(0);
        arrivals.add(new Arrival(atMs, kind, organisation, arrivals.size(), tokens));
        atMs += drawInterarrivalMs(random, profile, kind, atMs);
      }
    }
    arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
    return arrivals;
  }

  private static double drawInterarrivalMs(
      Random random, LoadProfile profile, RequestKind kind, double atMs) {
    double perSecond =
        profile.requestsPerSecond() * kind.share() * burstFactor(profile, kind, atMs);
    return -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / perSecond;
  }

  private static double burstFactor(LoadProfile profile, RequestKind kind, double atMs) {
    double third = profile.durationMs() / 3.0;
    boolean middle = atMs >= third && atMs < 2 * third;
    return profile
        .burst()
        .filter(burst -> middle && burst.serviceClass().equals(kind.serviceClass()))
        .map(LoadProfile.Burst::factor)
        .orElse(1.0);
  }

  /** Returns the cumulative Zipf shares of the organisations, largest organisation first. */
  static double[] cumulativeZipfShares(int count) {
    double[] cumulative = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += Math.pow(i + 1, -ZIPF_EXPONENT);
      cumulative[i] = sum;
    }
    for (int i = 0; i < count; i++) {
      cumulative[i] /= sum;
    }
    return cumulative;
  }

  private static int indexFor(double[] cumulative, double value) {
    int index = 0;
    while (index < cumulative.length - 1 && cumulative[index] < value) {
      index++;
    }
    return index;
  }

  private static int drawAnswerTokens(Random random, int meanTokens) {
    double logMean = Math.log(meanTokens) - ANSWER_LENGTH_LOG_SIGMA * ANSWER_LENGTH_LOG_SIGMA / 2;
    int drawn =
        (int) Math.round(Math.exp(logMean + ANSWER_LENGTH_LOG_SIGMA * random.nextGaussian()));
    return Math.max(MIN_ANSWER_TOKENS, Math.min(drawn, meanTokens * MAX_ANSWER_TO_MEAN_RATIO));
  }
}
