package org.zinniaspan.membership;

/**
 * A VM of the own availability zone that is believed to run.
 *
 * @param vm name
 * @param incarnation milliseconds since the epoch at which its process started
 * @param address peer address as host:port
 * @param leaving whether it has begun a graceful shutdown
 */
public record Member(String vm, long incarnation, String address, boolean leaving) {}
