package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses the endpoint of a request. */
public interface EndpointSelector {

  /**
   * Returns the endpoint that is expected to answer first.
   *
   * @param candidates endpoints that take requests
   * @param demand what the request needs
   * @param excluded ids of endpoints that were tried already
   */
  Optional<Selection> select(List<TrackedEndpoint> candidates, Demand demand, Set<String> excluded);

  /**
   * What a request needs.
   *
   * @param prompt the prompt, for a model service
   * @param toleratesPauses whether long pauses between events do not matter
   */
  record Demand(Optional<Prompt> prompt, boolean toleratesPauses) {}

  /**
   * A chosen endpoint.
   *
   * @param endpoint the endpoint
   * @param expectedMs expected time until its first byte, in milliseconds
   * @param uncachedTokens prompt tokens that it is expected to read anew
   */
  record Selection(TrackedEndpoint endpoint, double expectedMs, long uncachedTokens) {}
}
