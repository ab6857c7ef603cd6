package org.zinniaspan.standins.engine;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Generates the tokens of the answer to a prompt.
 *
 * <p>The same prompt gets the same tokens from every engine, so that another engine can resume an
 * answer.
 */
public final class AnswerText {

  private static final String[] VOCABULARY = {
    "plate",
    "dealer",
    "auction",
    "record",
    "owner",
    "page",
    "town",
    "festival",
    "site",
    "draft",
    "clear",
    "notice",
    "market",
    "harbour",
    "museum",
    "report"
  };
  private static final int MIN_ANSWER_TOKENS = 8;

  private final long seed;

  AnswerText(String prompt) {
    seed = seed(prompt);
  }

  /**
   * Returns the length in tokens of the answer to a prompt, at most {@code maxTokens}.
   *
   * <p>{@code #tokens=N} in the prompt fixes the length; without it, a hash of the prompt gives 8
   * to 63 tokens.
   */
  public static int answerTokens(String prompt, int maxTokens) {
    int marker = prompt.indexOf("#tokens=");
    int answerTokens = MIN_ANSWER_TOKENS + (int) Math.floorMod(seed(prompt), 56L);
    if (marker >= 0) {
      String digits = prompt.substring(marker + 8).replaceFirst("(?s)\\D.*", "");
      answerTokens = digits.isEmpty() ? answerTokens : Integer.parseInt(digits);
    }
    return Math.min(answerTokens, maxTokens);
  }

  /** Returns the token with the given index in the answer. */
  String token(int index) {
    long mixed = MurmurHash3.hash64((int) (seed + index * 31L));
    return VOCABULARY[Math.floorMod(mixed, VOCABULARY.length)] + " ";
  }

  private static long seed(String prompt) {
    return MurmurHash3.hash128x64(prompt.getBytes(StandardCharsets.UTF_8))[0];
  }
}
