package org.zinniaspan.forwarding;

/** A change to the platform's list of endpoints. */
public sealed interface EndpointChange {

  /** Returns the id of the endpoint. */
  String id();

  /**
   * The endpoint was added, or its entry changed.
   *
   * @param endpoint the new entry
   */
  record Listed(ListedEndpoint endpoint) implements EndpointChange {

    @Override
    public String id() {
      return endpoint.id();
    }
  }

  /**
   * The endpoint's entry was deleted, or is no longer valid.
   *
   * @param id id of the endpoint
   */
  record Removed(String id) implements EndpointChange {}
}
