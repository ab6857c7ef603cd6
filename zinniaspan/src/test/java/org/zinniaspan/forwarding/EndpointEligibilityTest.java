package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointEligibilityTest {

  private static final HomeRegions WEST = HomeRegions.of(Set.of("west"));
  private static final HomeRegions EAST = HomeRegions.of(Set.of("east"));

  private final EvacuatedZones evacuated = new EvacuatedZones();
  private final EndpointEligibility eligibility =
      new EndpointEligibility(
          evacuated,
          new ZoneCosts("west-a", Map.of("west-a", "west", "west-b", "west", "east-a", "east")));
  private final List<TrackedEndpoint> endpoints =
      List.of(tracked("west-a"), tracked("west-b"), tracked("east-a"), tracked("unknown"));

  private static TrackedEndpoint tracked(String zone) {
    return new TrackedEndpoint(
        new ListedEndpoint("in-" + zone, "service", "10.0.0.1:80", zone, "v1", 6, false, 1));
  }

  private List<String> eligibleZones(HomeRegions homes) {
    return eligibility.filter(endpoints, homes).stream().map(e -> e.listed().zone()).toList();
  }

  private void evacuate(String... zones) {
    evacuated.adopt(Set.of(zones), new StoreRevision(1, 10), "test");
  }

  @Test
  void admitsAllEndpointsByDefault() {
    assertThat(eligibility.filter(endpoints, HomeRegions.ALL)).isEqualTo(endpoints);
    assertThat(eligibility.findObstacle(endpoints, HomeRegions.ALL)).isEmpty();
    assertThat(eligibility.findObstacle(List.of(), WEST)).isEmpty();
  }

  @Test
  void admitsNoEndpointOfAnEvacuatedZone() {
    evacuate("west-a", "unknown");
    assertThat(eligibleZones(HomeRegions.ALL)).containsExactly("west-b", "east-a");
    assertThat(eligibleZones(WEST)).containsExactly("west-b");
  }

  @Test
  void statesWhyNoEndpointIsLeft() {
    assertThat(eligibility.findObstacle(endpoints, HomeRegions.of(Set.of("north"))))
        .hasValue(EndpointEligibility.NO_HOME_ENDPOINT);
    evacuate("west-a", "west-b");
    assertThat(eligibility.findObstacle(endpoints, WEST))
        .hasValue(EndpointEligibility.ZONES_EVACUATED);
    assertThat(eligibility.findObstacle(endpoints, EAST)).isEmpty();
  }

  @Nested
  class HomesOfRouteAndOrganisation {

    private final Route route = TestTables.route("/a/", RouteKind.SAFE, 0);

    private Route withHomes(HomeRegions homes) {
      return new Route(
          route.name(),
          route.host(),
          route.prefix(),
          route.kind(),
          route.services(),
          1_000,
          100,
          0,
          2,
          false,
          false,
          0,
          homes);
    }

    private OrganisationSpec organisation(HomeRegions homes) {
      return new OrganisationSpec("organisation-1", Optional.empty(), homes);
    }

    private RoutingTable table(HomeRegions ofRoute, HomeRegions ofOrganisation) {
      return new RoutingTable(
          7,
          List.of(withHomes(ofRoute)),
          Map.of(),
          Map.of("key-1", organisation(ofOrganisation)),
          true,
          InboundLimits.DEFAULT,
          new byte[0]);
    }

    private HomeRegions homes(RoutingTable newest, HomeRegions atArrival) {
      return newest.homeRegions(route, Optional.of(organisation(atArrival)));
    }

    @Test
    void bindTogether() {
      HomeRegions both = HomeRegions.of(Set.of("west", "east"));
      assertThat(homes(table(HomeRegions.ALL, HomeRegions.ALL), EAST)).isEqualTo(HomeRegions.ALL);
      assertThat(homes(table(WEST, HomeRegions.ALL), EAST)).isEqualTo(WEST);
      assertThat(homes(table(HomeRegions.ALL, EAST), WEST)).isEqualTo(EAST);
      assertThat(homes(table(both, EAST), WEST)).isEqualTo(EAST);
      assertThat(homes(table(WEST, EAST), WEST)).isEqualTo(HomeRegions.NONE);
      assertThat(eligibleZones(HomeRegions.NONE)).isEmpty();
    }

    @Test
    void areThoseAtArrivalOnceTheNewestTableHasNone() {
      RoutingTable other = TestTables.table(8, TestTables.route("/b/", RouteKind.SAFE, 0));
      OrganisationSpec removed = new OrganisationSpec("removed", Optional.empty(), EAST);
      assertThat(other.homeRegions(withHomes(HomeRegions.ALL), Optional.of(removed)))
          .isEqualTo(EAST);
      assertThat(other.homeRegions(withHomes(WEST), Optional.empty())).isEqualTo(WEST);
    }
  }
}
