package org.zinniaspan.cli;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Ticks all components in order and measures the time spent in each.
 *
 * <p>An exception of a component is logged; the component is ticked again in the next round. {@link
 * #tick} must be called from one thread only.
 */
final class Ticker implements Ticking {

  private static final double NANOS_PER_SECOND = 1_000_000_000.0;

  private final List<Ticking> components;
  private final Map<String, Double> secondsByComponent = new ConcurrentHashMap<>();

  Ticker(List<Ticking> components) {
    this.components = List.copyOf(components);
  }

  @Override
  public void tick() {
    components.forEach(this::tick);
  }

  private void tick(Ticking component) {
    String name = component.getClass().getSimpleName();
    long start = System.nanoTime();
    try {
      component.tick();
    } catch (RuntimeException e) {
      EventLog.event("tick-failed").with("component", name).with("error", e).warn();
    }
    secondsByComponent.merge(name, (System.nanoTime() - start) / NANOS_PER_SECOND, Double::sum);
  }

  /**
   * Returns the seconds spent in each component since the start, by simple class name; the names
   * are label values of the metric {@code zinniaspan_tick_seconds}.
   */
  Map<String, Double> secondsByComponent() {
    return Map.copyOf(secondsByComponent);
  }
}
