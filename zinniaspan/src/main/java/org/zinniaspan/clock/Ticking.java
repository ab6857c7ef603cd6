package org.zinniaspan.clock;

/** Performs the time-driven work of a component, such as timeouts and retransmissions. */
@FunctionalInterface
public interface Ticking {

  /** Performs all work that is due; called at least every 100 ms and must not block. */
  void tick();
}
