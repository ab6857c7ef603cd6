package org.zinniaspan.forwarding;

/**
 * Bounds on what a client may send.
 *
 * @param maxHeaderBytes longest request head, in bytes
 * @param maxBodyBytes longest request body, in bytes
 * @param headerTimeoutMs longest time from the first byte of a request to its last, in ms
 * @param idleTimeoutMs longest time between two requests, in ms
 */
public record InboundLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Bounds that hold before a configuration was read. */
  public static final InboundLimits DEFAULT = new InboundLimits(16_384, 4_194_304, 3_000, 15_000);
}
