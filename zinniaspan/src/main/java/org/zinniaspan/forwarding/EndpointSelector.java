package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Selects the endpoint for a request. */
public interface EndpointSelector {

  /**
   * Returns the endpoint to which the request is sent; empty if all candidates are excluded.
   *
   * @param candidates endpoints that accept requests
   * @param demand requirements of the request
   * @param excluded ids of endpoints that were already tried
   */
  Optional<Selection> select(List<TrackedEndpoint> candidates, Demand demand, Set<String> excluded);

  /**
   * Returns the cost of each candidate for a request as it is now, without its random part. It
   * changes no state.
   */
  Map<TrackedEndpoint, EndpointCost> costs(List<TrackedEndpoint> candidates, Demand demand);

  /**
   * Requirements of a request.
   *
   * @param prompt the prompt, for a model service
   * @param toleratesPauses whether long pauses between events are acceptable
   */
  record Demand(Optional<Prompt> prompt, boolean toleratesPauses) {}

  /**
   * The selected endpoint.
   *
   * @param endpoint the endpoint
   * @param expectedMs expected time to its first byte, in milliseconds
   * @param uncachedTokens prompt tokens that it is expected to prefill, as they are not cached
   *     there
   */
  record Selection(TrackedEndpoint endpoint, double expectedMs, long uncachedTokens) {}
}
