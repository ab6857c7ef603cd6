package org.zinniaspan.standins.choice;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.zinniaspan.inventory.ServiceClass;

/**
 * Generates seeded requests: 70 % short questions, 20 % long dossiers, 10 % background flagging.
 *
 * <p>Prompts share their prefixes; low prefix ids are the most frequent.
 */
final class RequestGenerator {

  static final int PROMPT_TOKENS = 768;
  static final int PREFIX_TOKENS = 512;

  private static final int PREFIX_COUNT = 40;
  private static final int DIGESTS_PER_PREFIX = 4;
  private static final int MAX_DOSSIER_TOKENS = 800;
  private static final ServiceClass COUNTER_QUESTION =
      new ServiceClass("counter-question", 0, 1_000, 0, 0, 64, false);
  private static final ServiceClass DOSSIER =
      new ServiceClass("dossier", 1, 3_000, 0, 0, MAX_DOSSIER_TOKENS, false);
  private static final ServiceClass RECORD_FLAGGING =
      new ServiceClass("record-flagging", 2, 30_000, 0, 0, 64, false);

  /**
   * The random properties of one request.
   *
   * @param serviceClass class of the request
   * @param tokens length of the answer in tokens
   * @param prefixId number of the prompt prefix that the request shares with others
   */
  record RequestSpec(ServiceClass serviceClass, int tokens, int prefixId) {

    /** Returns the digests of the blocks of the shared prefix. */
    List<Long> prefixDigests() {
      List<Long> digests = new ArrayList<>();
      for (long i = 1; i <= DIGESTS_PER_PREFIX; i++) {
        digests.add(prefixId * 100L + i);
      }
      return digests;
    }
  }

  private final Random random;

  RequestGenerator(long seed) {
    random = new Random(seed);
  }

  /** Returns the milliseconds to the next arrival of a Poisson process. */
  double drawInterarrivalMs(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
  }

  /** Returns the next request. */
  RequestSpec next() {
    double draw = random.nextDouble();
    int prefixId = (int) (PREFIX_COUNT * Math.pow(random.nextDouble(), 2));
    if (draw < 0.7) {
      return new RequestSpec(COUNTER_QUESTION, 8 + random.nextInt(25), prefixId);
    }
    if (draw < 0.9) {
      int tokens = (int) Math.exp(4.7 + 0.6 * random.nextGaussian());
      return new RequestSpec(DOSSIER, Math.max(20, Math.min(MAX_DOSSIER_TOKENS, tokens)), prefixId);
    }
    return new RequestSpec(RECORD_FLAGGING, 4 + random.nextInt(25), prefixId);
  }
}
