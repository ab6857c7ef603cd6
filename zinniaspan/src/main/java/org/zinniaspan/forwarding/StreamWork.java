package org.zinniaspan.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.clock.Clock;

/**
 * The recent work of tolerant and of strict streams at the engines of each service.
 *
 * <p>A VM of a large fleet sends too few streams to know the shares of both kinds. So it uses the
 * sum over all VMs, as long as other VMs tell it, and its own work otherwise. Not thread-safe.
 */
public final class StreamWork {

  /** Half-life of the measured work, in milliseconds. */
  private static final double HALF_LIFE_MS = 4_000;

  /** Age up to which the sum over all VMs is used, in milliseconds. */
  private static final long MAX_FLEET_AGE_MS = 3_000;

  /**
   * Work of the streams to one service, in milliseconds of engine time, decayed.
   *
   * @param service name of the service
   * @param tolerant work of the streams that tolerate long pauses
   * @param strict work of the other streams
   */
  public record Shares(String service, double tolerant, double strict) {

    /** Returns the sums over the works of one service. */
    static Shares sum(String service, Collection<Shares> works) {
      return new Shares(
          service,
          works.stream().mapToDouble(Shares::tolerant).sum(),
          works.stream().mapToDouble(Shares::strict).sum());
    }
  }

  private static final class Own {
    private final DecayingValue tolerant = new DecayingValue(HALF_LIFE_MS);
    private final DecayingValue strict = new DecayingValue(HALF_LIFE_MS);
  }

  private final Clock clock;
  private final Map<String, Own> ownByService = new HashMap<>();
  private Map<String, Shares> fleetByService = Map.of();
  private long fleetMs = Long.MIN_VALUE / 2;

  /** Creates a record without work. */
  public StreamWork(Clock clock) {
    this.clock = clock;
  }

  /** Adds the work of a stream of this VM, in milliseconds of engine time. */
  public void add(String service, boolean tolerant, double work) {
    Own own = ownByService.computeIfAbsent(service, name -> new Own());
    (tolerant ? own.tolerant : own.strict).add(work, clock.nowMs());
  }

  /** Returns the work of this VM's streams. */
  public List<Shares> own() {
    return ownByService.keySet().stream().map(this::own).toList();
  }

  private Shares own(String service) {
    long now = clock.nowMs();
    Own own = ownByService.get(service);
    return own == null
        ? new Shares(service, 0, 0)
        : new Shares(service, own.tolerant.at(now), own.strict.at(now));
  }

  /** Records the sums over all VMs. */
  public void onFleet(List<Shares> sums) {
    Map<String, Shares> byService = new HashMap<>();
    sums.forEach(shares -> byService.put(shares.service(), shares));
    fleetByService = byService;
    fleetMs = clock.nowMs();
  }

  /** Returns the work of a service's streams, of all VMs if it is known. */
  public Shares of(String service) {
    boolean fleetKnown =
        clock.nowMs() - fleetMs <= MAX_FLEET_AGE_MS && fleetByService.containsKey(service);
    return fleetKnown ? fleetByService.get(service) : own(service);
  }
}
