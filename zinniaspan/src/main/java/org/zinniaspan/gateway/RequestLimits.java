package org.zinniaspan.gateway;

/**
 * Limits that admission control applies to requests.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxInFlight maximum number of requests in flight
 */
public record RequestLimits(int maxBodyBytes, int maxInFlight) {}
