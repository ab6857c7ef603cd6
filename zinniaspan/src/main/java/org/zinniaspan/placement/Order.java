package org.zinniaspan.placement;

import java.util.Set;

/**
 * An order to an engine; it states the wished end and is safe to repeat.
 *
 * @param fencing fencing number
 * @param models models that shall be loaded in the end
 * @param validUntilMs time after which it must not be sent, by the placer's clock
 */
public record Order(long fencing, Set<String> models, long validUntilMs) {

  /** Copies the models. */
  public Order {
    models = Set.copyOf(models);
  }
}
