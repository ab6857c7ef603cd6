package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.inventory.Finding;

/**
 * One version of the configuration: routes, services, API keys and limits.
 *
 * <p>Example: {@code table.route("shop.example", "/v1/chat/x")}.
 */
public final class RoutingTable {

  /**
   * Ratio of a route's pause target to that of the strictest route from which its streams count as
   * tolerant.
   */
  private static final double TOLERANT_PAUSE_RATIO = 1.4;

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services;
  private final Map<String, OrganisationSpec> organisationsByKey;
  private final boolean keysRequired;
  private final InboundLimits limits;
  private final EngineRankMapper rankMapper;
  private final long strictestPauseTargetMs;
  private final int leastUrgentPriority;
  private final Map<String, HomeRegions> homesByRoute = new HashMap<>();
  private final Map<String, HomeRegions> homesByOrganisation = new HashMap<>();
  private final byte[] document;
  private final List<Finding> findings;

  /** Creates a table without findings. */
  public RoutingTable(
      long version,
      List<Route> routes,
      Map<String, ServiceSpec> services,
      Map<String, OrganisationSpec> organisationsByKey,
      boolean keysRequired,
      InboundLimits limits,
      byte[] document) {
    this(version, routes, services, organisationsByKey, keysRequired, limits, document, List.of());
  }

  /**
   * Creates a table.
   *
   * @param version version of the configuration; a newer configuration has a higher one
   * @param keysRequired whether routes that are not anonymous need an API key
   * @param document bytes that the table was decoded from, for other VMs
   * @param findings invalid values in it, for the log
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      Map<String, ServiceSpec> services,
      Map<String, OrganisationSpec> organisationsByKey,
      boolean keysRequired,
      InboundLimits limits,
      byte[] document,
      List<Finding> findings) {
    this.findings = List.copyOf(findings);
    this.document = document.clone();
    this.version = version;
    this.services = Map.copyOf(services);
    this.organisationsByKey = Map.copyOf(organisationsByKey);
    this.keysRequired = keysRequired;
    this.limits = limits;
    this.rankMapper =
        new EngineRankMapper(
            organisationsByKey.values().stream().flatMap(o -> o.priority().stream()).toList(),
            routes.stream().map(Route::priority).toList());
    this.strictestPauseTargetMs =
        routes.stream()
            .mapToLong(Route::pauseTargetMs)
            .filter(targetMs -> targetMs > 0)
            .min()
            .orElse(0);
    this.leastUrgentPriority =
        routes.stream()
            .filter(route -> route.kind() == RouteKind.STREAMING)
            .mapToInt(Route::priority)
            .max()
            .orElse(0);
    routes.forEach(r -> addHomes(homesByRoute, r.name(), r.homeRegions()));
    organisationsByKey
        .values()
        .forEach(o -> addHomes(homesByOrganisation, o.name(), o.homeRegions()));
    routes.forEach(
        route -> routesByHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route));
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  /** Adds home regions under a name; if several have the name, all of them apply. */
  private static void addHomes(Map<String, HomeRegions> homes, String name, HomeRegions added) {
    if (!name.isEmpty()) {
      homes.merge(name, added, HomeRegions::intersect);
    }
  }

  /** Returns the version of the configuration. */
  public long version() {
    return version;
  }

  /** Returns the bytes that the table was decoded from. */
  public byte[] document() {
    return document.clone();
  }

  /** Returns the invalid values that were found when the table was decoded. */
  public List<Finding> findings() {
    return findings;
  }

  /**
   * Returns the regions in which requests may be processed: those that both the route and the
   * organisation admit, as this table states them under their names. If it has no such route or
   * organisation any more, what is stated with the argument applies.
   */
  public HomeRegions homeRegions(Route route, Optional<OrganisationSpec> organisation) {
    HomeRegions ofRoute = homesByRoute.getOrDefault(route.name(), route.homeRegions());
    HomeRegions ofOrganisation =
        organisation
            .map(o -> homesByOrganisation.getOrDefault(o.name(), o.homeRegions()))
            .orElse(HomeRegions.ALL);
    return ofRoute.intersect(ofOrganisation);
  }

  /** Returns the limits on the requests of clients. */
  public InboundLimits limits() {
    return limits;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the route with the longest prefix that matches the path; the host's case and port are
   * ignored.
   */
  public Optional<Route> route(String host, String path) {
    String name = host.toLowerCase(Locale.ROOT).replaceFirst(":[0-9]*$", "");
    return routesByHost.getOrDefault(name, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /**
   * Returns whether a route's streams are tolerant: they may pause for much longer than the
   * strictest ones.
   */
  public boolean toleratesPauses(Route route) {
    return route.pauseTargetMs() > 0
        && route.pauseTargetMs() >= TOLERANT_PAUSE_RATIO * strictestPauseTargetMs;
  }

  /** Returns whether no streaming route is less urgent than the given route. */
  public boolean isLeastUrgent(Route route) {
    return route.priority() >= leastUrgentPriority;
  }

  /** Returns the rank of a request at an engine; 0 is the most urgent. */
  public int rank(Optional<OrganisationSpec> organisation, Route route) {
    return rankMapper.rank(organisation.flatMap(OrganisationSpec::priority), route.priority());
  }

  /** Returns a service by its name. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the names of the services whose endpoints are engines. */
  public List<String> modelServices() {
    return services.values().stream()
        .filter(service -> service.engine().isPresent())
        .map(ServiceSpec::name)
        .toList();
  }

  /** Returns whether requests on the route need an API key. */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /** Returns whether routes need an API key unless they are anonymous. */
  public boolean requiresKeys() {
    return keysRequired;
  }

  /** Returns the organisation that holds an API key. */
  public Optional<OrganisationSpec> organisation(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }
}
