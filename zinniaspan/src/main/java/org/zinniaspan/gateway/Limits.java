package org.zinniaspan.gateway;

/**
 * Limits on what a caller may send.
 *
 * @param maxBodyBytes longest body in bytes
 */
public record Limits(int maxBodyBytes) {}
