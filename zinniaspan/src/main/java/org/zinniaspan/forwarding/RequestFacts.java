package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * What a client's request says of itself.
 *
 * @param attemptId id of the client attempt; empty if the client sent none
 * @param host host that it is for
 * @param path path without the query
 * @param apiKey the API key, if one was sent
 * @param deadlineMs how long the client waits from the sending, in milliseconds
 * @param prompt the prompt, for a model service
 */
public record RequestFacts(
    Optional<String> attemptId,
    String host,
    String path,
    Optional<String> apiKey,
    Optional<Long> deadlineMs,
    Optional<Prompt> prompt) {}
