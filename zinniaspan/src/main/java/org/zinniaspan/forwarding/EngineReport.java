package org.zinniaspan.forwarding;

/**
 * Load of an engine as it reports it, some hundred milliseconds late.
 *
 * @param queued requests that wait there
 * @param active requests that it processes
 * @param startedAtMs when the incarnation that reports started, in milliseconds since the epoch
 */
public record EngineReport(int queued, int active, long startedAtMs) {}
