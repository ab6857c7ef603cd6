package org.zinniaspan.standins.choice;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.zinniaspan.inventory.ServiceClass;

/** Seeded requests: many short questions, few long dossiers, some background flagging. */
final class Demand {

  static final int PROMPT_TOKENS = 768;
  static final int PREFIX_TOKENS = 512;

  private static final int FAMILIES = 40;
  private static final int DIGESTS = 4;
  private static final int LONGEST_DOSSIER = 800;
  private static final ServiceClass COUNTER =
      new ServiceClass("counter-question", 0, 1_000, 0, 0, 64, false);
  private static final ServiceClass DOSSIER =
      new ServiceClass("dossier", 1, 3_000, 0, 0, LONGEST_DOSSIER, false);
  private static final ServiceClass FLAGGING =
      new ServiceClass("record-flagging", 2, 30_000, 0, 0, 64, false);

  /** One request to come. */
  record Arrival(ServiceClass serviceClass, int tokens, int family) {

    List<Long> prefixDigests() {
      List<Long> digests = new ArrayList<>();
      for (long i = 1; i <= DIGESTS; i++) {
        digests.add(family * 100L + i);
      }
      return digests;
    }
  }

  private final Random random;

  Demand(long seed) {
    random = new Random(seed);
  }

  double gapMs(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
  }

  Arrival next() {
    double kind = random.nextDouble();
    int family = (int) (FAMILIES * Math.pow(random.nextDouble(), 2));
    if (kind < 0.7) {
      return new Arrival(COUNTER, 8 + random.nextInt(25), family);
    }
    if (kind < 0.9) {
      int tokens = (int) Math.exp(4.7 + 0.6 * random.nextGaussian());
      return new Arrival(DOSSIER, Math.max(20, Math.min(LONGEST_DOSSIER, tokens)), family);
    }
    return new Arrival(FLAGGING, 4 + random.nextInt(25), family);
  }
}
