package org.zinniaspan.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.zinniaspan.dispatch.LeaseRequest;

/** Takes the endpoint that last reported the fewest running and waiting requests. */
public final class LeastReportedLoad implements EndpointChooser {

  @Override
  public String name() {
    return "least-load";
  }

  @Override
  public Optional<EndpointState> choose(
      LeaseRequest ask, List<EndpointState> candidates, long nowMs) {
    return candidates.stream()
        .min(
            Comparator.comparingInt(LeastReportedLoad::reported)
                .thenComparing(state -> state.endpoint().name()));
  }

  private static int reported(EndpointState state) {
    return state.report().map(report -> report.running() + report.waiting()).orElse(0);
  }
}
