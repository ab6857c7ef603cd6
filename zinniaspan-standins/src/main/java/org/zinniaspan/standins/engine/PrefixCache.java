package org.zinniaspan.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Prefix cache of an engine stand-in: an LRU cache of the digests of prompt blocks.
 *
 * <p>A block is a hit only if all blocks before it are hits. Not thread-safe.
 */
final class PrefixCache {

  /** Length of a block in characters. */
  static final int BLOCK_CHARACTERS = 256;

  private static final int CHARACTERS_PER_TOKEN = 4;

  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacityBlocks;

  PrefixCache(int capacityTokens) {
    capacityBlocks = capacityTokens * CHARACTERS_PER_TOKEN / BLOCK_CHARACTERS;
  }

  /**
   * Returns the digests of the complete blocks of a prompt; each digest covers all blocks before it
   * as well.
   */
  static List<Long> blockDigests(String prompt) {
    List<Long> digests = new ArrayList<>();
    long previousDigest = 0;
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      String block = previousDigest + prompt.substring(end - BLOCK_CHARACTERS, end);
      previousDigest = MurmurHash3.hash128x64(block.getBytes(StandardCharsets.UTF_8))[0];
      digests.add(previousDigest);
    }
    return digests;
  }

  /**
   * Returns the number of prompt tokens that the cache holds, then caches all blocks and evicts the
   * least recently used ones above the capacity.
   */
  int matchAndInsert(List<Long> digests) {
    int hits = 0;
    while (hits < digests.size() && blocks.containsKey(digests.get(hits))) {
      hits++;
    }
    digests.forEach(digest -> blocks.put(digest, Boolean.TRUE));
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > capacityBlocks && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
    return hits * BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
  }
}
