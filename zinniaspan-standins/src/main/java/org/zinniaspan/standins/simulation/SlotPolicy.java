package org.zinniaspan.standins.simulation;

/** Who lends slots in a simulation. */
enum SlotPolicy {
  /** One dispatcher for the pool. */
  DISPATCHER,
  /** Each gateway by its own view. */
  ALONE,
  /** One queue in order of arrival, without limit. */
  FIRST_COME,
  /** One queue in order of arrival, with a limit. */
  FIRST_COME_LIMITED
}
