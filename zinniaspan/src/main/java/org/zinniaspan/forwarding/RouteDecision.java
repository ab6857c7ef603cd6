package org.zinniaspan.forwarding;

import java.util.Optional;

/** How a routing table applies to a request. */
public sealed interface RouteDecision {

  /**
   * The request is forwarded.
   *
   * @param route its route
   * @param version version of the table
   * @param organisation organisation that holds its API key; empty on an anonymous route
   * @param service service that receives it
   * @param rank its priority rank at engines; 0 is the most urgent
   * @param toleratesPauses whether its stream may pause for much longer than the strictest ones
   * @param leastUrgent whether no streaming route is less urgent
   */
  record Routed(
      Route route,
      long version,
      Optional<OrganisationSpec> organisation,
      String service,
      int rank,
      boolean toleratesPauses,
      boolean leastUrgent)
      implements RouteDecision {}

  /** No route matches the request. */
  record NoRoute() implements RouteDecision {}

  /** The route needs an API key, and the request has none that is known. */
  record UnknownKey() implements RouteDecision {}

  /** The table has to be confirmed first, as the request may need an API key. */
  record Unconfirmed() implements RouteDecision {}

  /**
   * Decides on a request.
   *
   * @param fresh whether API keys may be accepted
   * @param point number from 0, inclusive, to 1, exclusive, that selects among the route's services
   */
  static RouteDecision of(RoutingTable table, RequestFacts facts, boolean fresh, double point) {
    Optional<Route> found = table.route(facts.host(), facts.path());
    boolean anonymous = found.map(route -> !table.needsKey(route)).orElse(false);
    if (!anonymous && table.requiresKeys() && !fresh) {
      return new Unconfirmed();
    }
    if (found.isEmpty()) {
      return new NoRoute();
    }
    Route route = found.get();
    Optional<OrganisationSpec> organisation =
        anonymous ? Optional.empty() : facts.apiKey().flatMap(table::organisation);
    if (organisation.isEmpty() && table.needsKey(route)) {
      return new UnknownKey();
    }
    return new Routed(
        route,
        table.version(),
        organisation,
        route.serviceAt(point),
        table.rank(organisation, route),
        table.toleratesPauses(route),
        table.isLeastUrgent(route));
  }
}
