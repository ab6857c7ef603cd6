package org.zinniaspan.forwarding;

/**
 * Identifies one process of an endpoint.
 *
 * @param endpointId id of the endpoint
 * @param startedAtMs start of the process, in milliseconds since the epoch
 */
record EndpointIncarnation(String endpointId, long startedAtMs) {

  static EndpointIncarnation of(ListedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.startedAtMs());
  }
}
