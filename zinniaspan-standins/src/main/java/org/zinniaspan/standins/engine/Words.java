package org.zinniaspan.standins.engine;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Generates the answer to a prompt: the same prompt gets the same tokens from every engine. */
public final class Words {

  private static final String[] WORDS = {
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
  private static final int SHORTEST = 8;

  private final long seed;

  Words(String prompt) {
    seed = seed(prompt);
  }

  /** Returns the length in tokens of the answer to a prompt whose class is given by its text. */
  public static int length(String prompt, int maxTokens) {
    int marker = prompt.indexOf("#tokens=");
    int wanted = SHORTEST + (int) Math.floorMod(seed(prompt), 56L);
    if (marker >= 0) {
      String digits = prompt.substring(marker + 8).replaceFirst("(?s)\\D.*", "");
      wanted = digits.isEmpty() ? wanted : Integer.parseInt(digits);
    }
    return Math.min(wanted, maxTokens);
  }

  /** Returns the token of that index. */
  String token(int index) {
    long mixed = MurmurHash3.hash64((int) (seed + index * 31L));
    return WORDS[Math.floorMod(mixed, WORDS.length)] + " ";
  }

  private static long seed(String prompt) {
    return MurmurHash3.hash128x64(prompt.getBytes(StandardCharsets.UTF_8))[0];
  }
}
