package org.zinniaspan.inventory;

/**
 * A class of requests with its service level.
 *
 * @param name unique name
 * @param tier priority; 0 is the highest
 * @param firstTokenTargetMs milliseconds from arrival to the first token, or to the answer of a
 *     plain service
 * @param tokenTargetMs milliseconds between tokens, zero where there is no target
 * @param completionTargetMs milliseconds from arrival to the end of the answer, zero where there is
 *     no target
 * @param maxOutputTokens longest answer in tokens
 * @param nonIdempotent whether a request of this class runs at most once
 */
public record ServiceClass(
    String name,
    int tier,
    long firstTokenTargetMs,
    long tokenTargetMs,
    long completionTargetMs,
    int maxOutputTokens,
    boolean nonIdempotent) {

  /** Longest answer, in tokens, of a class for which the rules give none. */
  public static final int DEFAULT_MAX_OUTPUT_TOKENS = 4096;

  /** Fills the default of an absent limit. */
  public ServiceClass {
    maxOutputTokens = maxOutputTokens == 0 ? DEFAULT_MAX_OUTPUT_TOKENS : maxOutputTokens;
  }
}
