package org.zinniaspan.standins.engine;

/**
 * Speed and capacity of an engine stand-in.
 *
 * <p>The time between two tokens of one request is {@code (baseMsPerToken + batch *
 * msPerTokenPerRequest) * slowdown}, where {@code batch} is the number of running requests.
 *
 * @param slots maximum number of requests that run at once; others wait in the engine
 * @param baseMsPerToken base time of a step, in milliseconds
 * @param msPerTokenPerRequest milliseconds that each running request adds to a step
 * @param prefillTokensPerSecond prompt tokens read per second
 * @param cacheTokens capacity of the prefix cache, in prompt tokens
 * @param reportLagMs age of the load reports, in milliseconds
 * @param checksFencing whether orders with a lower fencing number than an earlier one are refused
 */
public record EngineProfile(
    int slots,
    double baseMsPerToken,
    double msPerTokenPerRequest,
    double prefillTokensPerSecond,
    int cacheTokens,
    long reportLagMs,
    boolean checksFencing) {}
