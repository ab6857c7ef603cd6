package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingTableTest {

  private final Route shortPrefix = TestTables.route("/a/", RouteKind.SAFE, 0);
  private final Route longPrefix = TestTables.route("/a/b/", RouteKind.STREAMING, 200);
  private final Route tolerant = TestTables.route("/c/", RouteKind.STREAMING, 800);
  private final RoutingTable table = TestTables.table(1, shortPrefix, longPrefix, tolerant);

  @Nested
  class Matching {

    @Test
    void takesTheLongestPrefix() {
      assertThat(table.route("shop.example", "/a/b/c")).hasValue(longPrefix);
      assertThat(table.route("shop.example", "/a/x")).hasValue(shortPrefix);
    }

    @Test
    void ignoresCaseAndPortOfTheHost() {
      assertThat(table.route("Shop.Example:8080", "/a/x")).hasValue(shortPrefix);
    }

    @Test
    void findsNoRouteForAnotherHostOrPath() {
      assertThat(table.route("other.example", "/a/x")).isEmpty();
      assertThat(table.route("shop.example", "/a")).isEmpty();
    }
  }

  @Nested
  class Pauses {

    @Test
    void areToleratedWellAboveTheStrictestTarget() {
      assertThat(table.toleratesPauses(tolerant)).isTrue();
      assertThat(table.toleratesPauses(longPrefix)).isFalse();
    }

    @Test
    void areNotToleratedWhereNoRouteStreams() {
      assertThat(TestTables.table(1, shortPrefix).toleratesPauses(shortPrefix)).isFalse();
    }
  }

  @Nested
  class Shares {

    @Test
    void followTheWeights() {
      Route split =
          new Route(
              "split",
              "shop.example",
              "/s/",
              RouteKind.SAFE,
              List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
              1_000,
              100,
              0,
              1,
              false,
              false,
              0,
              HomeRegions.ALL);
      assertThat(split.serviceAt(0)).isEqualTo("a");
      assertThat(split.serviceAt(0.899)).isEqualTo("a");
      assertThat(split.serviceAt(0.901)).isEqualTo("b");
      assertThat(split.serviceAt(0.999)).isEqualTo("b");
    }
  }
}
