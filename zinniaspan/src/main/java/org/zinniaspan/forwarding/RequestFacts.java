package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * Properties of a client's request that its head states.
 *
 * @param attemptId id of the client attempt; empty if the client sent none
 * @param host requested host
 * @param path path without the query
 * @param apiKey the API key, if one was sent
 * @param deadlineMs how long the client waits after sending, in milliseconds
 * @param prompt the prompt, for a model service
 * @param resume the stream that the client resumes, if it does
 */
public record RequestFacts(
    Optional<String> attemptId,
    String host,
    String path,
    Optional<String> apiKey,
    Optional<Long> deadlineMs,
    Optional<Prompt> prompt,
    Optional<StreamResume> resume) {}
