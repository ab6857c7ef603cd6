package org.zinniaspan.placement;

import java.util.Set;

/**
 * State of one engine as input of a placement decision.
 *
 * @param name name of the endpoint
 * @param memoryMb accelerator memory in megabytes
 * @param allowed models that the inventory allows it to serve
 * @param loaded models in its last load report
 * @param highestFencing highest fencing number in its last load report
 * @param checksFencing whether it refuses orders with a lower fencing number than it has seen
 */
public record EngineView(
    String name,
    int memoryMb,
    Set<String> allowed,
    Set<String> loaded,
    long highestFencing,
    boolean checksFencing) {

  /** Makes defensive copies of the models. */
  public EngineView {
    allowed = Set.copyOf(allowed);
    loaded = Set.copyOf(loaded);
  }
}
