package org.zinniaspan.forwarding;

import java.util.List;

/**
 * The prompt of a request to a model service.
 *
 * @param tokens length of the prompt, in tokens
 * @param maxOutputTokens maximum length of the output, in tokens
 * @param parts parts of the prompt, in order
 */
public record Prompt(long tokens, long maxOutputTokens, List<PromptPart> parts) {

  /** Makes a defensive copy of the list. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** Returns the ids of the parts, in order. */
  public List<String> partIds() {
    return parts.stream().map(PromptPart::id).toList();
  }
}
