package org.zinniaspan.gateway;

/**
 * Limits on what a caller may send.
 *
 * @param maxBodyBytes longest body in bytes
 * @param maxInFlight most requests at one time
 */
public record Limits(int maxBodyBytes, int maxInFlight) {}
