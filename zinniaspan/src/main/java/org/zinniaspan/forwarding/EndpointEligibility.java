package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * Decides which endpoints may receive a request by their place: none outside of the request's home
 * regions, and none in an evacuated availability zone.
 *
 * <p>It is asked before each send, so that a change also applies to requests that wait or are sent
 * again.
 */
public final class EndpointEligibility {

  /** Reason for refusing a request as none of the endpoints is in its home regions. */
  public static final String NO_HOME_ENDPOINT = "no-endpoint-in-home-regions";

  /** Reason for refusing a request as all endpoints in its home regions are evacuated. */
  public static final String ZONES_EVACUATED = "zones-evacuated";

  private final EvacuatedZones evacuated;
  private final ZoneCosts zones;

  /** Creates a rule over the evacuated zones as they are at each call. */
  public EndpointEligibility(EvacuatedZones evacuated, ZoneCosts zones) {
    this.evacuated = evacuated;
    this.zones = zones;
  }

  /** Returns whether an endpoint may receive requests with the given home regions. */
  public boolean admits(ListedEndpoint endpoint, HomeRegions homes) {
    return !evacuated.contains(endpoint.zone()) && isHome(endpoint, homes);
  }

  /** Returns those of some endpoints that may receive requests with the given home regions. */
  public List<TrackedEndpoint> filter(List<TrackedEndpoint> endpoints, HomeRegions homes) {
    if (homes.isAll() && evacuated.zones().isEmpty()) {
      return endpoints;
    }
    return endpoints.stream().filter(e -> admits(e.listed(), homes)).toList();
  }

  /**
   * Returns why none of some endpoints may receive requests with the given home regions; empty if
   * one may, or if there are no endpoints at all.
   */
  public Optional<String> findObstacle(List<TrackedEndpoint> endpoints, HomeRegions homes) {
    if (endpoints.isEmpty() || !filter(endpoints, homes).isEmpty()) {
      return Optional.empty();
    }
    boolean home = endpoints.stream().anyMatch(e -> isHome(e.listed(), homes));
    return Optional.of(home ? ZONES_EVACUATED : NO_HOME_ENDPOINT);
  }

  private boolean isHome(ListedEndpoint endpoint, HomeRegions homes) {
    return homes.isAll() || homes.admits(zones.region(endpoint.zone()));
  }
}
