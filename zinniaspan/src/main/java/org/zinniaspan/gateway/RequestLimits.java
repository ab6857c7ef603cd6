package org.zinniaspan.gateway;

/**
 * Limits on what a caller may send.
 *
 * @param maxBodyBytes longest body in bytes
 * @param maxInFlight most requests at one time
 */
public record RequestLimits(int maxBodyBytes, int maxInFlight) {}
