package org.zinniaspan.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.zinniaspan.dispatch.LeaseRequest;

/** Chooses the candidates in turn. */
public final class RoundRobin implements EndpointChooser {

  private final AtomicInteger next = new AtomicInteger();

  @Override
  public String name() {
    return "round-robin";
  }

  @Override
  public Optional<EndpointSnapshot> choose(
      LeaseRequest request, List<EndpointSnapshot> candidates, long nowMs) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int index = Math.floorMod(next.getAndIncrement(), candidates.size());
    return Optional.of(candidates.get(index));
  }
}
