package org.zinniaspan.forwarding;

/**
 * Limits on the requests of clients.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headerTimeoutMs longest time from the first byte of a request to the end of its head, in
 *     milliseconds
 * @param idleTimeoutMs longest time between two requests of a connection, and between two parts of
 *     a request body, in milliseconds
 */
public record InboundLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply until a configuration is read, and where the configuration states none. */
  public static final InboundLimits DEFAULT = new InboundLimits(16_384, 4_194_304, 3_000, 15_000);
}
