package org.zinniaspan.forwarding;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(String service, int weight) {}
