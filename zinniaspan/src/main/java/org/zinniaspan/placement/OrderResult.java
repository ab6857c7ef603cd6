package org.zinniaspan.placement;

/** Result of sending an order. */
public sealed interface OrderResult {

  /** The engine accepted the order. */
  record Accepted() implements OrderResult {}

  /** The engine rejected the order because it has seen a higher fencing number. */
  record Stale(long highestFencing) implements OrderResult {}

  /** The order was no longer valid before a byte was sent. */
  record Expired() implements OrderResult {}

  /** The engine could not be reached or answered with an error. */
  record Failed(String reason) implements OrderResult {}
}
