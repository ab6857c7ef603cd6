package org.zinniaspan.standins.engine;

/**
 * How fast an engine works.
 *
 * <p>The time between two tokens of one request is {@code (baseMsPerToken + batch *
 * msPerTokenPerRequest) * slowdown}, where {@code batch} is the number of requests that run.
 *
 * @param slots requests that run at once; others wait in the engine
 * @param baseMsPerToken milliseconds between tokens of a request that runs alone
 * @param msPerTokenPerRequest milliseconds that each further request adds
 * @param prefillTokensPerSecond prompt tokens read in a second
 * @param cacheTokens prompt tokens that the prefix cache holds
 * @param reportLagMs age of the load reports
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineProfile(
    int slots,
    double baseMsPerToken,
    double msPerTokenPerRequest,
    double prefillTokensPerSecond,
    int cacheTokens,
    long reportLagMs,
    boolean checksFencing) {}
