package org.zinniaspan.forwarding;

/** A change of the platform's list of endpoints. */
public sealed interface EndpointChange {

  /** Returns the id of the endpoint. */
  String id();

  /**
   * The endpoint was listed, or its entry changed.
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
   * The endpoint's entry is gone, or names nothing that can be used.
   *
   * @param id id of the endpoint
   */
  record Removed(String id) implements EndpointChange {}
}
