package org.zinniaspan.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.datasketches.tdigest.TDigestDouble;

/**
 * Quantiles of a number by key, learned in small sketches that use no random numbers.
 *
 * <p>The keys used least recently are forgotten. A sketch is replaced once it has seen many values,
 * so that old ones fade. State is guarded by this object's lock.
 */
public final class QuantileMemory {

  private static final short COMPRESSION = 20;
  private static final int FADE_AFTER = 1_000;

  private final int leastValues;
  private final LinkedHashMap<String, Learned> learned;

  private static final class Learned {
    private TDigestDouble current = new TDigestDouble(COMPRESSION);
    private Optional<TDigestDouble> previous = Optional.empty();

    void add(double value) {
      if (current.getTotalWeight() >= FADE_AFTER) {
        previous = Optional.of(current);
        current = new TDigestDouble(COMPRESSION);
      }
      current.update(value);
    }

    Optional<TDigestDouble> best(int leastValues) {
      return current.getTotalWeight() >= leastValues ? Optional.of(current) : previous;
    }
  }

  /**
   * Creates an empty memory.
   *
   * @param maxKeys most keys
   * @param leastValues values of a key before its quantiles are given
   */
  public QuantileMemory(int maxKeys, int leastValues) {
    this.leastValues = leastValues;
    this.learned =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Learned> eldest) {
            return size() > maxKeys;
          }
        };
  }

  /** Adds a value. */
  public synchronized void add(String key, double value) {
    learned.computeIfAbsent(key, absent -> new Learned()).add(value);
  }

  /** Returns a quantile, as 0.95, of the key's values; empty if too few are known. */
  public synchronized Optional<Double> quantile(String key, double rank) {
    return Optional.ofNullable(learned.get(key))
        .flatMap(known -> known.best(leastValues))
        .map(sketch -> sketch.getQuantile(rank));
  }

  /** Returns the number of keys. */
  public synchronized int size() {
    return learned.size();
  }
}
