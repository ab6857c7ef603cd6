package org.zinniaspan.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.datasketches.tdigest.TDigestDouble;

/**
 * Estimates quantiles of a value for each key with small t-digests, which use no random numbers.
 *
 * <p>Least recently used keys are evicted. A sketch is replaced after a number of values, so that
 * old values no longer count. State is guarded by this object's lock.
 */
public final class KeyedQuantiles {

  private static final short COMPRESSION = 20;
  private static final int ROTATE_AFTER_VALUES = 1_000;

  private final int minValues;
  private final LinkedHashMap<String, RotatingSketch> sketches;

  private static final class RotatingSketch {
    private TDigestDouble current = new TDigestDouble(COMPRESSION);
    private Optional<TDigestDouble> previous = Optional.empty();

    void add(double value) {
      if (current.getTotalWeight() >= ROTATE_AFTER_VALUES) {
        previous = Optional.of(current);
        current = new TDigestDouble(COMPRESSION);
      }
      current.update(value);
    }

    Optional<TDigestDouble> select(int minValues) {
      return current.getTotalWeight() >= minValues ? Optional.of(current) : previous;
    }
  }

  /**
   * Creates an estimator without values.
   *
   * @param maxKeys maximum number of keys
   * @param minValues minimum number of values of a key for its quantiles to be returned
   */
  public KeyedQuantiles(int maxKeys, int minValues) {
    this.minValues = minValues;
    this.sketches =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, RotatingSketch> eldest) {
            return size() > maxKeys;
          }
        };
  }

  /** Adds a value to a key. */
  public synchronized void add(String key, double value) {
    sketches.computeIfAbsent(key, absent -> new RotatingSketch()).add(value);
  }

  /** Returns a quantile, such as 0.95, of a key's values; empty if there are too few. */
  public synchronized Optional<Double> quantile(String key, double rank) {
    return Optional.ofNullable(sketches.get(key))
        .flatMap(rotating -> rotating.select(minValues))
        .map(sketch -> sketch.getQuantile(rank));
  }

  /** Returns the number of keys. */
  public synchronized int size() {
    return sketches.size();
  }
}
