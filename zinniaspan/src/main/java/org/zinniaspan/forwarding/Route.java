package org.zinniaspan.forwarding;

import java.util.List;

/**
 * Forwarding rules for the requests of one host and path prefix.
 *
 * @param name name of the route, for logs
 * @param host host name in lower case, without a port
 * @param prefix path prefix that begins and ends with a slash
 * @param kind whether its requests may run more than once
 * @param services services between which its requests are split; at least one
 * @param timeoutMs longest time until the response is complete, in milliseconds
 * @param targetLatencyMs latency target, in milliseconds: time to the first event of a stream, or
 *     to the end of another response
 * @param priority priority rank of the route; 0 is the most urgent
 * @param maxAttempts largest number of times that one client attempt is sent to an endpoint
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may be resumed at another endpoint
 * @param pauseTargetMs target for the longest pause between two events of a stream, in
 *     milliseconds; 0 if none is stated
 * @param homeRegions regions in which its requests may be processed
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    List<WeightedService> services,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    int maxAttempts,
    boolean anonymous,
    boolean resumable,
    long pauseTargetMs,
    HomeRegions homeRegions) {

  /** Makes a defensive copy of the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request may run on a second endpoint although it may have run on a first. */
  public boolean isIdempotent() {
    return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
  }

  /**
   * Returns the service for a point in the weighted split.
   *
   * @param point number from 0, inclusive, to 1, exclusive
   */
  public String serviceAt(double point) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    double left = point * total;
    for (WeightedService entry : services) {
      left -= entry.weight();
      if (left < 0) {
        return entry.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
