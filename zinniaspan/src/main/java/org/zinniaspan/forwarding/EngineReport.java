package org.zinniaspan.forwarding;

/**
 * Load of an engine as it reports it; the figures are some hundred milliseconds old.
 *
 * @param queued requests that wait in its queue
 * @param active requests that it processes
 * @param startedAtMs start of the reporting incarnation, in milliseconds since the epoch
 */
public record EngineReport(int queued, int active, long startedAtMs) {}
