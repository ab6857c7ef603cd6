package org.zinniaspan.clock;

/**
 * Provides the current time to all code that makes decisions; tests substitute virtual time.
 *
 * <p>Example: {@code long deadlineMs = clock.nowMs() + budgetMs;}
 */
@FunctionalInterface
public interface Clock {

  /** Returns the time in milliseconds since the epoch; never decreases within one process. */
  long nowMs();
}
