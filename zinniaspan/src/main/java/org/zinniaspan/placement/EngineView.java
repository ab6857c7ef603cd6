package org.zinniaspan.placement;

import java.util.Set;

/**
 * What a placer knows of one engine of its availability zone.
 *
 * @param name endpoint name
 * @param memoryMb accelerator memory in megabytes
 * @param allowed models that the inventory lets it serve
 * @param loaded models that its last report lists
 * @param highestFencing highest fencing number that its last report lists
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EngineView(
    String name,
    int memoryMb,
    Set<String> allowed,
    Set<String> loaded,
    long highestFencing,
    boolean checksFencing) {

  /** Copies the models. */
  public EngineView {
    allowed = Set.copyOf(allowed);
    loaded = Set.copyOf(loaded);
  }
}
