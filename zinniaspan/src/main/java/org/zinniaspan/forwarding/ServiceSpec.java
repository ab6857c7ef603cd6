package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * A service as the configuration describes it.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all VMs together
 * @param engine capacity of the engines of a model service; empty for a plain service
 * @param cold what its endpoints take while they are cold; empty if that is not limited
 */
public record ServiceSpec(
    String name, int maxConnections, Optional<EngineCapacity> engine, Optional<ColdSpec> cold) {

  /** Creates a service whose endpoints take as many requests after their start as later. */
  public ServiceSpec(String name, int maxConnections, Optional<EngineCapacity> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
