package org.zinniaspan.dispatch;

/** How the use of a slot ended. */
public enum SlotResult {
  /** The endpoint answered in full. */
  COMPLETED,
  /** The grant was not used; no byte was sent. */
  UNUSED,
  /** The endpoint could not be reached; no byte was sent. */
  UNREACHABLE,
  /** The endpoint answered with an error or refused. */
  REJECTED,
  /** The endpoint says that it leaves. */
  LEAVING,
  /** The connection broke after a byte may have left. */
  BROKEN,
  /** The gateway stopped the work. */
  CANCELLED
}
