package org.zinniaspan.forwarding;

/**
 * Load that an engine reports, some hundred milliseconds late.
 *
 * @param queued requests that wait in its queue
 * @param active requests that it processes
 * @param startedAtMs start of the reporting incarnation, in milliseconds since the epoch
 */
public record EngineReport(int queued, int active, long startedAtMs) {}
