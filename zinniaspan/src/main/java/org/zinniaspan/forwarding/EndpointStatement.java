package org.zinniaspan.forwarding;

/**
 * What an incarnation of an endpoint stated last.
 *
 * @param endpointId id of the endpoint
 * @param startedAtMs start of its incarnation, in milliseconds since the epoch
 * @param value what it stated
 * @param atMs time of the statement, in milliseconds
 */
public record EndpointStatement<V>(String endpointId, long startedAtMs, V value, long atMs) {

  /** Creates the statement of an endpoint's present incarnation. */
  static <V> EndpointStatement<V> of(ListedEndpoint endpoint, V value, long atMs) {
    return new EndpointStatement<>(endpoint.id(), endpoint.startedAtMs(), value, atMs);
  }

  EndpointIncarnation incarnation() {
    return new EndpointIncarnation(endpointId, startedAtMs);
  }
}
