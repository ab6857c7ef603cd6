package org.zinniaspan.membership;

/**
 * A VM of this process's availability zone that is considered live.
 *
 * @param vm name of the VM
 * @param incarnation milliseconds since the epoch at which its process started
 * @param address peer address as host:port
 * @param leaving whether it is shutting down gracefully
 */
public record Member(String vm, long incarnation, String address, boolean leaving) {}
