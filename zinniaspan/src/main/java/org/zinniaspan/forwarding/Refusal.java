package org.zinniaspan.forwarding;

/**
 * A decision not to forward a request now.
 *
 * @param reason reason code, for logs and the client
 * @param retryAfterMs delay after which the client may retry, in milliseconds
 */
public record Refusal(String reason, long retryAfterMs) {}
