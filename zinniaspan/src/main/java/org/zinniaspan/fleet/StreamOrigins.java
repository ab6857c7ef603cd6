package org.zinniaspan.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;

/**
 * The origins of recent streams that this VM knows, by the attempt that began each.
 *
 * <p>Holds at most {@value #MAX_ENTRIES} streams; the ones recorded first are dropped. Not
 * thread-safe.
 */
final class StreamOrigins {

  /** Largest number of origins that are kept. */
  static final int MAX_ENTRIES = 20_000;

  private final Clock clock;
  private final Map<String, StreamOrigin> byAttempt =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StreamOrigin> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  StreamOrigins(Clock clock) {
    this.clock = clock;
  }

  /** Keeps an origin until it expires; the first one that is recorded for an attempt stays. */
  void add(StreamOrigin origin) {
    byAttempt.putIfAbsent(origin.attemptId(), origin);
  }

  /** Returns the origin of the stream that an attempt began, if it is known. */
  Optional<StreamOrigin> find(String attemptId) {
    return Optional.ofNullable(byAttempt.get(attemptId));
  }

  /** Returns the number of origins that are kept. */
  int size() {
    return byAttempt.size();
  }

  void removeExpired() {
    byAttempt.values().removeIf(origin -> origin.expiresMs() <= clock.nowMs());
  }
}
