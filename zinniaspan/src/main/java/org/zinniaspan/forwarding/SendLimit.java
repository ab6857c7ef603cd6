package org.zinniaspan.forwarding;

/** Bounds what all VMs together send to an endpoint, by what endpoints state. */
public interface SendLimit {

  /** Returns whether it bounds the requests to an endpoint. */
  boolean appliesTo(ListedEndpoint endpoint);

  /** Returns the time until this VM may send to an endpoint, in milliseconds. */
  long remainingMs(TrackedEndpoint endpoint);

  /** Returns what {@link #remainingMs} returned last time or would return, and changes no state. */
  long peekMs(TrackedEndpoint endpoint);

  /** Records that a request is sent to an endpoint. */
  void onSent(ListedEndpoint endpoint);

  /** Returns whether it gives way if no other endpoint takes a request. */
  default boolean isPreference() {
    return false;
  }

  /** Records that a connection to an endpoint could not be opened. */
  default void onConnectFailed(ListedEndpoint endpoint) {}

  /** Records that a new connection to an endpoint was opened. */
  default void onConnected(ListedEndpoint endpoint) {}
}
