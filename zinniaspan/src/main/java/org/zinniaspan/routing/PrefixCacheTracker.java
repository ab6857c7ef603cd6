package org.zinniaspan.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the prompt prefixes that were sent to one endpoint and may be in its cache.
 *
 * <p>An LRU map with a time to live, because endpoints evict prefixes too. State is guarded by this
 * object's lock.
 */
public final class PrefixCacheTracker {

  /** Length in tokens of the shortest prefix with a digest; each next one is twice as long. */
  public static final int SHORTEST_PREFIX_TOKENS = 64;

  /** Maximum number of prefixes kept for one endpoint. */
  public static final int MAX_PREFIXES = 2_000;

  /** Time to live of a prefix after its last use, in milliseconds. */
  public static final long PREFIX_TTL_MS = 120_000;

  private final LinkedHashMap<Long, Long> lastUsedMs =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /** Records that a prompt was sent whose prefixes have these digests, shortest first. */
  public synchronized void recordSent(List<Long> digests, long nowMs) {
    digests.forEach(digest -> lastUsedMs.put(digest, nowMs));
  }

  /** Returns the length in tokens of the longest of these prefixes that is kept, zero if none. */
  public synchronized int cachedTokens(List<Long> digests, long nowMs) {
    for (int i = digests.size() - 1; i >= 0; i--) {
      Long lastMs = lastUsedMs.get(digests.get(i));
      if (lastMs != null && nowMs - lastMs <= PREFIX_TTL_MS) {
        return SHORTEST_PREFIX_TOKENS << i;
      }
    }
    return 0;
  }
}
