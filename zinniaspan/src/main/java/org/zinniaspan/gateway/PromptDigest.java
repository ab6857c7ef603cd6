package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Measures a prompt and digests its prefixes. */
final class PromptDigest {

  /** Characters of a token, on average. */
  static final int CHARACTERS_PER_TOKEN = 4;

  /** Length of the shortest prefix that is digested, in characters; each next one is twice it. */
  static final int MIN_PREFIX_CHARACTERS = 256;

  private static final int MAX_PREFIXES = 10;

  private PromptDigest() {}

  /** Returns the text of all messages in order. */
  static String text(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      text.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      text.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return text.toString();
  }

  /** Returns the length in tokens, rounded up. */
  static int estimateTokens(String text) {
    return (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /** Returns the digests of the prefixes of the text, shortest first. */
  static List<Long> prefixDigests(String text) {
    List<Long> digests = new ArrayList<>();
    for (int length = MIN_PREFIX_CHARACTERS;
        length <= text.length() && digests.size() < MAX_PREFIXES;
        length *= 2) {
      byte[] prefix = text.substring(0, length).getBytes(StandardCharsets.UTF_8);
      digests.add(MurmurHash3.hash128x64(prefix)[0]);
    }
    return digests;
  }
}
