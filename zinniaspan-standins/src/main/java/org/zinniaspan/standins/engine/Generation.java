package org.zinniaspan.standins.engine;

import java.util.List;

/**
 * One answer to generate.
 *
 * @param model model that answers
 * @param prompt text of all messages
 * @param blocks digests of the prompt's blocks, as {@link PrefixCache#blocksOf} returns them
 * @param promptTokens length of the prompt in tokens
 * @param priority lower goes first
 * @param resumeFrom tokens to skip
 * @param length length of the whole answer in tokens
 */
record Generation(
    String model,
    String prompt,
    List<Long> blocks,
    int promptTokens,
    int priority,
    int resumeFrom,
    int length) {}
