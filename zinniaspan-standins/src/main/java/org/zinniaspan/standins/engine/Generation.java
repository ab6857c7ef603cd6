package org.zinniaspan.standins.engine;

import java.util.List;

/**
 * One answer to generate.
 *
 * @param model model that answers
 * @param prompt text of all messages
 * @param blockDigests digests of the prompt's blocks, as {@link PrefixCache#blockDigests} returns
 *     them
 * @param promptTokens length of the prompt in tokens
 * @param priority lower goes first
 * @param resumeFromToken tokens to skip
 * @param answerTokens length of the whole answer in tokens
 */
record Generation(
    String model,
    String prompt,
    List<Long> blockDigests,
    int promptTokens,
    int priority,
    int resumeFromToken,
    int answerTokens) {}
