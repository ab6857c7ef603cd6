package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.Explanation.Candidate;
import org.zinniaspan.forwarding.Explanation.Outcome;

/**
 * Explains where a request would go now, and why, without sending it.
 *
 * <p>It asks the same rules as a request does, in the same order, but only by calls that change no
 * state: no permit is used, no counter moves and nothing is learned. What is drawn at random for a
 * request is left out.
 */
public final class RequestExplainer {

  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;
  private static final int UNAUTHORIZED = 401;

  private final Clock clock;
  private final CatalogFollower follower;
  private final TableFreshness freshness;
  private final EndpointDirectory directory;
  private final EndpointEligibility eligibility;
  private final EndpointBackoff backoff;
  private final SendLimits limits;
  private final EndpointReachability reachability;
  private final EndpointSelector selector;

  /** Creates an explainer over the state of one VM. */
  public RequestExplainer(
      Clock clock,
      CatalogFollower follower,
      TableFreshness freshness,
      EndpointDirectory directory,
      EndpointEligibility eligibility,
      EndpointBackoff backoff,
      SendLimits limits,
      EndpointReachability reachability,
      EndpointSelector selector) {
    this.clock = clock;
    this.follower = follower;
    this.freshness = freshness;
    this.directory = directory;
    this.eligibility = eligibility;
    this.backoff = backoff;
    this.limits = limits;
    this.reachability = reachability;
    this.selector = selector;
  }

  /** Returns the explanation for a request with the given facts. */
  public Explanation explain(RequestFacts facts) {
    Optional<RoutingTable> table = follower.table();
    if (table.isEmpty() || !follower.evacuatedZones().isKnown()) {
      return unrouted(new Outcome.Refused(UNAVAILABLE, "no-configuration", Optional.empty()));
    }
    RouteDecision decision = RouteDecision.of(table.get(), facts, freshness.isFresh(), 0);
    if (decision instanceof RouteDecision.Routed routed) {
      return routed(routed, table.get().homeRegions(routed.route(), routed.organisation()), facts);
    }
    if (decision instanceof RouteDecision.Unconfirmed) {
      return unrouted(new Outcome.Waiting("configuration-not-confirmed", 0));
    }
    return unrouted(
        decision instanceof RouteDecision.NoRoute
            ? new Outcome.Refused(NOT_FOUND, "no-route", Optional.empty())
            : new Outcome.Refused(UNAUTHORIZED, "unknown-key", Optional.empty()));
  }

  private Explanation unrouted(Outcome outcome) {
    return new Explanation(Optional.empty(), outcome, List.of(), zones(), List.of(), ages());
  }

  private Explanation routed(RouteDecision.Routed routed, HomeRegions homes, RequestFacts facts) {
    List<TrackedEndpoint> admitted = new ArrayList<>();
    List<Candidate> excluded = new ArrayList<>();
    for (TrackedEndpoint endpoint : endpoints(routed.service())) {
      Optional<String> reason = exclusion(endpoint, homes);
      if (reason.isPresent()) {
        excluded.add(candidate(endpoint, reason, Map.of()));
      } else {
        admitted.add(endpoint);
      }
    }
    Map<TrackedEndpoint, EndpointCost> costs =
        selector.costs(
            admitted, new EndpointSelector.Demand(facts.prompt(), routed.toleratesPauses()));
    List<TrackedEndpoint> ranked = new ArrayList<>(admitted);
    ranked.sort(
        Comparator.comparing(limits::peekAvoid)
            .thenComparingDouble(e -> costs.get(e).expectedMs() + costs.get(e).otherMs()));
    List<Candidate> candidates = new ArrayList<>();
    ranked.forEach(e -> candidates.add(candidate(e, Optional.empty(), costs.get(e).parts())));
    candidates.addAll(excluded);
    Outcome outcome =
        ranked.isEmpty()
            ? withoutEndpoint(routed, homes)
            : new Outcome.Sent(ranked.get(0).listed().id(), costs.get(ranked.get(0)).expectedMs());
    return new Explanation(
        Optional.of(routed), outcome, homes.names(), zones(), candidates, ages());
  }

  /** Returns all listed endpoints of a service, draining ones included. */
  private List<TrackedEndpoint> endpoints(String service) {
    return directory.entries().stream()
        .filter(entry -> entry.service().equals(service))
        .flatMap(entry -> directory.endpoint(entry.id()).stream())
        .sorted(Comparator.comparing(endpoint -> endpoint.listed().id()))
        .toList();
  }

  private Optional<String> exclusion(TrackedEndpoint endpoint, HomeRegions homes) {
    ListedEndpoint listed = endpoint.listed();
    if (listed.draining() || endpoint.statedDraining()) {
      return Optional.of("draining");
    }
    if (!eligibility.admits(listed, HomeRegions.ALL)) {
      return Optional.of("its zone is evacuated");
    }
    if (!eligibility.admits(listed, homes)) {
      return Optional.of("outside of the home regions");
    }
    if (backoff.remainingMs(listed) > 0) {
      return Optional.of("asked for a pause, " + backoff.remainingMs(listed) + " ms left");
    }
    long limitedMs = limits.peekMs(endpoint);
    if (limitedMs > 0) {
      return Optional.of("limited, the next request in " + limitedMs + " ms");
    }
    return reachability.isReachable(listed.id())
        ? Optional.empty()
        : Optional.of("not reached by this VM");
  }

  private Outcome withoutEndpoint(RouteDecision.Routed routed, HomeRegions homes) {
    List<TrackedEndpoint> ready = directory.ready(routed.service());
    Optional<String> obstacle = eligibility.findObstacle(ready, homes);
    if (obstacle.isPresent() || ready.isEmpty()) {
      return new Outcome.Refused(UNAVAILABLE, obstacle.orElse("no-endpoint"), Optional.empty());
    }
    long pausedMs =
        eligibility.filter(ready, homes).stream()
            .mapToLong(e -> Math.max(backoff.remainingMs(e.listed()), limits.peekMs(e)))
            .min()
            .orElse(0);
    return pausedMs > 0
        ? new Outcome.Waiting("endpoints-paused", pausedMs)
        : new Outcome.Relayed("another VM, as this one reaches no endpoint");
  }

  private Candidate candidate(
      TrackedEndpoint endpoint, Optional<String> exclusion, Map<String, Double> costs) {
    long now = clock.nowMs();
    Optional<Long> reportAgeMs =
        endpoint.lastReportMs() > 0 ? Optional.of(endpoint.reportAgeMs(now)) : Optional.empty();
    return new Candidate(
        endpoint.listed().id(), endpoint.listed().zone(), exclusion, costs, reportAgeMs);
  }

  private List<String> zones() {
    return List.copyOf(new TreeSet<>(follower.evacuatedZones().zones()));
  }

  private Map<String, Optional<Long>> ages() {
    Map<String, Optional<Long>> ages = new LinkedHashMap<>();
    ages.put("configuration", Optional.of(freshness.ageMs()).filter(age -> age != Long.MAX_VALUE));
    ages.put("endpoints", directory.confirmationAgeMs());
    return ages;
  }
}
