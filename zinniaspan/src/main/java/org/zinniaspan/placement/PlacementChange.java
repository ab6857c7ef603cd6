package org.zinniaspan.placement;

import java.util.Set;

/**
 * A wished change of one engine, stated as its end.
 *
 * @param engine endpoint name
 * @param models models that shall be loaded in the end
 * @param reason why, for the log
 */
public record PlacementChange(String engine, Set<String> models, String reason) {

  /** Copies the models. */
  public PlacementChange {
    models = Set.copyOf(models);
  }
}
