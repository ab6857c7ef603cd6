package org.zinniaspan.inventory;

/**
 * A class of requests with its service level objectives.
 *
 * @param name unique name
 * @param tier priority; 0 is the highest
 * @param firstTokenTargetMs target time from arrival to the first token, or to the response of a
 *     plain service, in milliseconds
 * @param tokenTargetMs target time between two tokens, in milliseconds; zero for none
 * @param completionTargetMs target time from arrival to the end of the response, in milliseconds;
 *     zero for none
 * @param maxOutputTokens maximum length of a response, in tokens
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

  /** Maximum length of a response, in tokens, of a class for which the rules give none. */
  public static final int DEFAULT_MAX_OUTPUT_TOKENS = 4096;

  /** Applies the default of an absent limit. */
  public ServiceClass {
    maxOutputTokens = maxOutputTokens == 0 ? DEFAULT_MAX_OUTPUT_TOKENS : maxOutputTokens;
  }
}
