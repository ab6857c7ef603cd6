package org.zinniaspan.standins.engine;

/**
 * One answer to generate.
 *
 * @param model model that answers
 * @param prompt text of all messages
 * @param prefixDigest digest of the prefix that the cache knows
 * @param prefixTokens length of that prefix in tokens
 * @param promptTokens length of the prompt in tokens
 * @param priority lower goes first
 * @param resumeFrom tokens to skip
 * @param length length of the whole answer in tokens
 */
record Generation(
    String model,
    String prompt,
    long prefixDigest,
    int prefixTokens,
    int promptTokens,
    int priority,
    int resumeFrom,
    int length) {}
