package org.zinniaspan.placement;

import java.util.Set;

/**
 * An order to an engine to load a set of models; idempotent, because it gives the target state.
 *
 * @param fencing fencing number; an engine that checks it rejects orders with a lower one
 * @param models names of the models to be loaded after the order
 * @param validUntilMs time after which the order must not be sent, in milliseconds by the placer's
 *     clock
 */
public record Order(long fencing, Set<String> models, long validUntilMs) {

  /** Makes a defensive copy of the models. */
  public Order {
    models = Set.copyOf(models);
  }
}
