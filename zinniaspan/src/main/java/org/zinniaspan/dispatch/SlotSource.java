package org.zinniaspan.dispatch;

import java.util.Optional;

/** Source of the slots that a pool's queue grants. */
interface SlotSource {

  /** Returns whether the pool has an endpoint that the request does not exclude. */
  boolean hasEndpoint(LeaseRequest request);

  /** Returns the number of slots that could be granted now. */
  int freeSlots();

  /** Takes a slot for a request and returns its endpoint, empty if none is free for it. */
  Optional<String> take(LeaseRequest request);

  /** Records that a request already holds a slot. */
  void adopt(String endpoint, LeaseRequest request);

  /** Releases a slot and records how it was used. */
  void release(String endpoint, LeaseRequest request, SlotUse use);

  /** Releases a slot without recording how it was used. */
  void discard(String endpoint, LeaseRequest request);
}
