package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * A service as the configuration describes it.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all VMs together
 * @param engine capacity of the engines of a model service; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineCapacity> engine) {}
