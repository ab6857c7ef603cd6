package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates routes and routing tables for tests. */
final class TestTables {

  private TestTables() {}

  static Route route(String prefix, RouteKind kind, long pauseTargetMs) {
    return new Route(
        "route " + prefix,
        "shop.example",
        prefix,
        kind,
        List.of(new WeightedService("service", 1)),
        1_000,
        100,
        0,
        2,
        false,
        false,
        pauseTargetMs,
        HomeRegions.ALL);
  }

  static RoutingTable table(long version, Route... routes) {
    return new RoutingTable(
        version,
        List.of(routes),
        Map.of("service", new ServiceSpec("service", 100, Optional.empty())),
        Map.of("key-1", new OrganisationSpec("organisation-1", Optional.of(1), HomeRegions.ALL)),
        true,
        InboundLimits.DEFAULT,
        new byte[] {(byte) version});
  }
}
