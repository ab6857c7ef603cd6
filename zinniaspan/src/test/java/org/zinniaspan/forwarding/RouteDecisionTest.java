package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteDecisionTest {

  private final RoutingTable table =
      TestTables.table(7, TestTables.route("/chat/", RouteKind.STREAMING, 200));

  private RouteDecision decide(String path, Optional<String> key, boolean fresh) {
    RequestFacts facts =
        new RequestFacts(
            Optional.of("a1"),
            "shop.example",
            path,
            key,
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    return RouteDecision.of(table, facts, fresh, 0.5);
  }

  @Test
  void routesRequestsWithKnownKeys() {
    RouteDecision decision = decide("/chat/x", Optional.of("key-1"), true);
    assertThat(decision).isInstanceOf(RouteDecision.Routed.class);
    RouteDecision.Routed routed = (RouteDecision.Routed) decision;
    assertThat(routed.service()).isEqualTo("service");
    assertThat(routed.version()).isEqualTo(7);
    assertThat(routed.organisation().orElseThrow().name()).isEqualTo("organisation-1");
  }

  @Test
  void rejectsUnknownKeysAndRoutes() {
    assertThat(decide("/chat/x", Optional.of("key-2"), true))
        .isInstanceOf(RouteDecision.UnknownKey.class);
    assertThat(decide("/chat/x", Optional.empty(), true))
        .isInstanceOf(RouteDecision.UnknownKey.class);
    assertThat(decide("/none/", Optional.of("key-1"), true))
        .isInstanceOf(RouteDecision.NoRoute.class);
  }

  @Test
  void decidesNothingAboutKeysUntilTheTableIsFresh() {
    assertThat(decide("/chat/x", Optional.of("key-1"), false))
        .isInstanceOf(RouteDecision.Unconfirmed.class);
    assertThat(decide("/none/", Optional.of("key-1"), false))
        .isInstanceOf(RouteDecision.Unconfirmed.class);
  }
}
