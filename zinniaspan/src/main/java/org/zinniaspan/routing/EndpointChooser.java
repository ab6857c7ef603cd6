package org.zinniaspan.routing;

import java.util.List;
import java.util.Optional;
import org.zinniaspan.dispatch.LeaseRequest;

/**
 * Load-balancing policy that chooses the endpoint for a request.
 *
 * <p>Every candidate serves the pool, has a free slot and is not excluded, ejected or leaving.
 */
public interface EndpointChooser {

  /** Returns the name of this policy in the settings. */
  String name();

  /** Returns the chosen candidate, empty only if there are no candidates. */
  Optional<EndpointSnapshot> choose(
      LeaseRequest request, List<EndpointSnapshot> candidates, long nowMs);
}
