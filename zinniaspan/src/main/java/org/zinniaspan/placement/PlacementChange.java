package org.zinniaspan.placement;

import java.util.Set;

/**
 * A planned change of the models on one engine, given as the target state.
 *
 * @param engine name of the endpoint
 * @param models names of the models to be loaded after the change
 * @param reason reason for the change, for the log
 */
public record PlacementChange(String engine, Set<String> models, String reason) {

  /** Makes a defensive copy of the models. */
  public PlacementChange {
    models = Set.copyOf(models);
  }
}
