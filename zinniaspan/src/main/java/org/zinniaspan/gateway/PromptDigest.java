package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Estimates the length of a prompt in tokens and hashes its prefixes for cache-aware routing. */
final class PromptDigest {

  /** Average number of characters in a token. */
  static final int CHARACTERS_PER_TOKEN = 4;

  /** Length of the shortest hashed prefix, in characters; each further prefix is twice as long. */
  static final int MIN_PREFIX_CHARACTERS = 256;

  private static final int MAX_PREFIXES = 10;

  private PromptDigest() {}

  /** Returns the roles and contents of all messages in order, each followed by a line break. */
  static String text(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      text.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      text.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return text.toString();
  }

  /** Returns the estimated length of a text in tokens, rounded up. */
  static int estimateTokens(String text) {
    return (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /** Returns the hashes of the prefixes of a text, shortest prefix first. */
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
