package org.zinniaspan.dispatch;

import java.util.Optional;

/** Where a queue takes the slots of its pool from. */
interface SlotSource {

  /** Returns whether the pool has an endpoint that the ask does not exclude. */
  boolean hasEndpoint(SlotAsk ask);

  /** Returns the number of slots that could be lent now. */
  int free();

  /** Takes a slot for an ask and returns its endpoint, empty if none is free for it. */
  Optional<String> take(SlotAsk ask);

  /** Records that an ask holds a slot already. */
  void adopt(String endpoint, SlotAsk ask);

  /** Gives a slot back and learns from its use. */
  void give(String endpoint, SlotAsk ask, SlotUse use);

  /** Forgets a slot without learning from it. */
  void forget(String endpoint, SlotAsk ask);
}
