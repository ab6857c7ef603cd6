package org.zinniaspan.forwarding;

/**
 * A decision not to send a request now.
 *
 * @param reason why, for logs and the client
 * @param retryAfterMs when the client may come back, in milliseconds
 */
public record Refusal(String reason, long retryAfterMs) {}
