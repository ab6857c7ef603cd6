package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asynchronous reader of the routing table, the evacuated availability zones and the endpoints that
 * the platform publishes. Each call invokes its callback exactly once, also after a failure.
 */
public interface Catalog {

  /** Reads the current routing table and the evacuated availability zones. */
  void readOperatorState(Consumer<CatalogResult<OperatorState>> callback);

  /**
   * Decodes a routing table from the document that it was published as; empty if it is invalid.
   *
   * @param document bytes of {@link RoutingTable#document}
   */
  Optional<RoutingTable> decodeTable(byte[] document);

  /**
   * Reads the complete list of endpoints. Its pages are not a consistent snapshot: the returned
   * revision is that of the first one, and the following ones are as new or newer.
   */
  void readEndpoints(Consumer<CatalogResult<List<EndpointPage>>> callback);

  /**
   * Waits for changes (long poll).
   *
   * @param afterRevision revision after which changes are returned
   * @param waitMs longest time until an empty result is returned, in milliseconds
   */
  void watch(long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> callback);

  /**
   * Reads the changes to the list of endpoints since a revision, without waiting for any.
   *
   * @param afterRevision revision after which changes are returned, oldest first
   */
  void readChanges(
      long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback);
}
