package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** What the platform publishes; each reply comes once, also after a failure. */
public interface Catalog {

  /** Reads the routing table, as of now; empty if none was published. */
  void readTable(Consumer<CatalogResult<Optional<RoutingTable>>> reply);

  /** Reads the complete list of endpoints, as of now or later than the revision returned. */
  void readEndpoints(Consumer<CatalogResult<List<ListedEndpoint>>> reply);

  /**
   * Waits for changes.
   *
   * @param afterRevision revision after which changes are wanted
   * @param waitMs longest time until an empty reply, in milliseconds
   */
  void watch(long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> reply);
}
