package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * A page of the platform's list of endpoints, which is in the order of their ids.
 *
 * @param endpoints the valid entries of the page
 * @param lastId id of the last entry of the page, valid or not; empty for the last page
 * @param revision revision of the platform's store at which the page was read
 */
public record EndpointPage(
    List<ListedEndpoint> endpoints, Optional<String> lastId, StoreRevision revision) {

  /** Makes a defensive copy of the list. */
  public EndpointPage {
    endpoints = List.copyOf(endpoints);
  }

  /** Creates the only page of a list. */
  public EndpointPage(List<ListedEndpoint> endpoints, StoreRevision revision) {
    this(endpoints, Optional.empty(), revision);
  }

  /** Returns whether an id that no earlier page covers would be on this page. */
  boolean covers(String id) {
    return lastId.map(last -> id.compareTo(last) <= 0).orElse(true);
  }
}
