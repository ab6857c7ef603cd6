package org.zinniaspan.dispatch;

import java.util.Optional;

/** Where a queue takes the slots of its pool from. */
interface SlotSource {

  /** Returns whether the pool has an endpoint that the ask does not exclude. */
  boolean hasEndpoint(LeaseRequest request);

  /** Returns the number of slots that could be lent now. */
  int freeSlots();

  /** Takes a slot for an ask and returns its endpoint, empty if none is free for it. */
  Optional<String> take(LeaseRequest request);

  /** Records that an ask holds a slot already. */
  void adopt(String endpoint, LeaseRequest request);

  /** Gives a slot back and learns from its use. */
  void release(String endpoint, LeaseRequest request, SlotUse use);

  /** Forgets a slot without learning from it. */
  void discard(String endpoint, LeaseRequest request);
}
