package org.zinniaspan.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.zinniaspan.dispatch.LeaseRequest;

/** Chooses a candidate at random, all with the same probability. */
public final class RandomChoice implements EndpointChooser {

  private final Random random;

  /** Creates a chooser that draws from a generator with the given seed. */
  public RandomChoice(long seed) {
    this.random = new Random(seed);
  }

  @Override
  public String name() {
    return "random";
  }

  @Override
  public Optional<EndpointSnapshot> choose(
      LeaseRequest request, List<EndpointSnapshot> candidates, long nowMs) {
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }
}
