package org.zinniaspan.clock;

/**
 * Source of time for every decision.
 *
 * <p>Example: {@code long deadlineMs = clock.nowMs() + budgetMs;}
 */
@FunctionalInterface
public interface Clock {

  /** Returns milliseconds since the epoch; never decreases within one process. */
  long nowMs();
}
