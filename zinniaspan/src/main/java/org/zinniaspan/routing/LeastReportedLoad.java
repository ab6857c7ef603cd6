package org.zinniaspan.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.zinniaspan.dispatch.LeaseRequest;

/**
 * Chooses the endpoint with the fewest running and waiting requests in its last load report.
 *
 * <p>An endpoint without a report counts as idle; ties go to the first name in order.
 */
public final class LeastReportedLoad implements EndpointChooser {

  @Override
  public String name() {
    return "least-load";
  }

  @Override
  public Optional<EndpointSnapshot> choose(
      LeaseRequest request, List<EndpointSnapshot> candidates, long nowMs) {
    return candidates.stream()
        .min(
            Comparator.comparingInt(LeastReportedLoad::reportedLoad)
                .thenComparing(snapshot -> snapshot.endpoint().name()));
  }

  private static int reportedLoad(EndpointSnapshot snapshot) {
    return snapshot.report().map(report -> report.running() + report.waiting()).orElse(0);
  }
}
