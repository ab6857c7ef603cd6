package org.zinniaspan.standins.simulation;

/** The policy by which a simulated zone grants slots. */
enum SlotPolicy {
  /** One dispatcher grants the slots of the pool. */
  DISPATCHER,
  /** Each gateway grants slots from its own view of the engines. */
  ALONE,
  /** One unlimited queue for all gateways, in order of arrival. */
  FIRST_COME,
  /** One queue of limited length for all gateways, in order of arrival. */
  FIRST_COME_LIMITED
}
