package org.zinniaspan.placement;

import java.util.HashMap;
import java.util.Map;
import org.zinniaspan.clock.Clock;

/**
 * Measures requests per second for each model with exponential decay.
 *
 * <p>The platform's load balancer spreads requests over the entry VMs, so the requests of one VM
 * are a sample of those of its availability zone. State is guarded by this object's lock.
 */
public final class DemandMeter {

  private static final double HALF_LIFE_MS = 30_000.0;
  private static final double MS_PER_SECOND = 1_000.0;

  private final Clock clock;
  private final Map<String, Double> decayedCounts = new HashMap<>();
  private long updatedMs;

  /** Creates a meter without requests. */
  public DemandMeter(Clock clock) {
    this.clock = clock;
    this.updatedMs = clock.nowMs();
  }

  /** Counts one request for a model. */
  public synchronized void count(String model) {
    decay();
    decayedCounts.merge(model, 1.0, Double::sum);
  }

  /** Returns the requests per second by model. */
  public synchronized Map<String, Double> perSecond() {
    decay();
    double windowSeconds = HALF_LIFE_MS / Math.log(2) / MS_PER_SECOND;
    Map<String, Double> rates = new HashMap<>();
    decayedCounts.forEach((model, weight) -> rates.put(model, weight / windowSeconds));
    return rates;
  }

  private void decay() {
    long now = clock.nowMs();
    double factor = Math.pow(0.5, (now - updatedMs) / HALF_LIFE_MS);
    decayedCounts.replaceAll((model, weight) -> weight * factor);
    updatedMs = now;
  }
}
