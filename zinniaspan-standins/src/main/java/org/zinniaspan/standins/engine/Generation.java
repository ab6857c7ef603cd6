package org.zinniaspan.standins.engine;

import java.util.List;

/**
 * A request to generate one answer.
 *
 * @param model name of the model
 * @param prompt concatenated text of all messages
 * @param blockDigests digests of the prompt's blocks, as {@link PrefixCache#blockDigests} returns
 *     them
 * @param promptTokens length of the prompt in tokens
 * @param priority scheduling priority; lower numbers run first
 * @param resumeFromToken number of tokens to skip, as the caller has them already
 * @param answerTokens length of the whole answer in tokens, including those skipped
 */
record Generation(
    String model,
    String prompt,
    List<Long> blockDigests,
    int promptTokens,
    int priority,
    int resumeFromToken,
    int answerTokens) {}
