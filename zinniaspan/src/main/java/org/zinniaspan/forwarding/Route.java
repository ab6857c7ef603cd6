package org.zinniaspan.forwarding;

import java.util.List;

/**
 * How requests of one host and path prefix are forwarded.
 *
 * @param name name of the route, for logs
 * @param host host name in lower case, without a port
 * @param prefix path prefix that begins and ends with a slash
 * @param kind what may be repeated
 * @param services services that share its requests; at least one
 * @param timeoutMs longest time until the final answer, in milliseconds
 * @param targetLatencyMs latency objective in milliseconds
 * @param priority rank of the route; 0 is the most urgent
 * @param maxAttempts most endpoints that one client attempt may run on
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may go on at another endpoint
 * @param gapTargetMs longest pause between events, in milliseconds; 0 if none is stated
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
    long gapTargetMs) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether the request may run on a second endpoint after it may have run on a first. */
  public boolean isIdempotent() {
    return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
  }

  /**
   * Returns the service at a place of the routes' shares.
   *
   * @param point number from 0, included, to 1, excluded
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
