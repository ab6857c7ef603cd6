package org.zinniaspan.forwarding;

/**
 * A part of a prompt, which other prompts may share.
 *
 * @param id identifies the content
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, long tokens) {}
