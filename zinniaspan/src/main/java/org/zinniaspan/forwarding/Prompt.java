package org.zinniaspan.forwarding;

import java.util.List;

/**
 * The prompt of a request to a model service.
 *
 * @param tokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param parts parts of the prompt in order
 */
public record Prompt(long tokens, long maxOutputTokens, List<PromptPart> parts) {

  /** Copies the list. */
  public Prompt {
    parts = List.copyOf(parts);
  }
}
