package org.zinniaspan.forwarding;

/**
 * An endpoint's entry in the platform's list.
 *
 * @param id id of the endpoint's incarnation
 * @param service name of its service
 * @param address address on which it listens, as host:port
 * @param zone its availability zone
 * @param softwareVersion version of the software that it runs; empty if not stated
 * @param slots requests that it processes concurrently
 * @param draining whether it is shutting down and accepts no new requests
 * @param startedAtMs start of this incarnation, in milliseconds since the epoch; 0 if not stated
 */
public record ListedEndpoint(
    String id,
    String service,
    String address,
    String zone,
    String softwareVersion,
    int slots,
    boolean draining,
    long startedAtMs) {}
