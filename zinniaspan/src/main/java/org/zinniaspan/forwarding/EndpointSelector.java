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
   * @param prompt the prompt, for a model service
   * @param excluded ids of endpoints that were tried already
   */
  Optional<Selection> select(
      List<TrackedEndpoint> candidates, Optional<Prompt> prompt, Set<String> excluded);

  /**
   * A chosen endpoint.
   *
   * @param endpoint the endpoint
   * @param expectedMs expected time until its first byte, in milliseconds
   * @param unreadTokens prompt tokens that it is expected to read anew
   */
  record Selection(TrackedEndpoint endpoint, double expectedMs, long unreadTokens) {}
}
