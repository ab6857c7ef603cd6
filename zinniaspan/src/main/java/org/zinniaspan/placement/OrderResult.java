package org.zinniaspan.placement;

/** What came of an order. */
public sealed interface OrderResult {

  /** The engine accepted it. */
  record Accepted() implements OrderResult {}

  /** The engine has seen a higher fencing number. */
  record Stale(long highestFencing) implements OrderResult {}

  /** The order expired before a byte was sent. */
  record Expired() implements OrderResult {}

  /** The engine could not be reached, or answered with an error. */
  record Failed(String reason) implements OrderResult {}
}
