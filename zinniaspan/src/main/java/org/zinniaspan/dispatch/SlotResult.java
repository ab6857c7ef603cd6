package org.zinniaspan.dispatch;

/** Result of the use of a slot. */
public enum SlotResult {
  /** The endpoint answered in full. */
  COMPLETED,
  /** The grant was not used; no byte was sent. */
  UNUSED,
  /** The endpoint could not be reached; no byte was sent. */
  UNREACHABLE,
  /** The endpoint answered with an error or refused. */
  REJECTED,
  /** The endpoint announced that it is leaving. */
  LEAVING,
  /** The connection broke after a byte may have been sent. */
  BROKEN,
  /** The gateway stopped the work. */
  CANCELLED
}
