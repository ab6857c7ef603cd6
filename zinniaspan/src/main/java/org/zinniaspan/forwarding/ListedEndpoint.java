package org.zinniaspan.forwarding;

/**
 * An endpoint as the platform lists it.
 *
 * @param id its incarnation's id
 * @param service name of its service
 * @param address where it listens, host:port
 * @param zone its availability zone
 * @param slots requests that it processes at the same time
 * @param draining whether it is leaving and takes no new requests
 * @param startedAtMs when this incarnation started, in milliseconds since the epoch; 0 if not
 *     stated
 */
public record ListedEndpoint(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining,
    long startedAtMs) {}
