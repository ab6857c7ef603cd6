package org.zinniaspan.clock;

/** A component that acts as time passes. */
@FunctionalInterface
public interface Ticking {

  /** Acts on all that is due; called at least every 100 ms and must not block. */
  void tick();
}
