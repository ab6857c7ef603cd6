package org.zinniaspan.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.zinniaspan.clock.Clock;

/**
 * One view of the requests to model services by rank and organisation for all VMs.
 *
 * <p>A VM of a large fleet gets a few requests a second of several ranks, which tell it nothing of
 * what the others admit and refuse. So the VMs add up theirs with the queries for load reports,
 * while requests are late at one of them. The sum of this VM's zone, or of all zones, is used until
 * it is old. Not thread-safe.
 */
public final class SharedPressure {

  /** Half-life of the counts, in milliseconds. */
  private static final double HALF_LIFE_MS = 600;

  /** Half-life of the work of organisations, in milliseconds. */
  private static final double WORK_HALF_LIFE_MS = 1_500;

  /** Age up to which the sum is used, in milliseconds. */
  private static final long MAX_AGE_MS = 1_500;

  /** Time from the first sum until all VMs have heard of it and told theirs, in milliseconds. */
  private static final long COMPLETE_MS = 2_000;

  /** Number of VMs from which one of them sees too few requests to decide by them. */
  private static final int MIN_VMS = 16;

  /** Time after a late request in which this VM tells its counts, in milliseconds. */
  private static final long TELLING_MS = 3_000;

  /** Number of organisations of a rank that a VM tells by name. */
  private static final int NAMED_ORGANISATIONS = 4;

  /** Least work of an organisation that is kept, in prompt tokens. */
  private static final double MIN_WORK = 20;

  private static final class Own {
    private final DecayingValue offered = new DecayingValue(HALF_LIFE_MS);
    private final DecayingValue late = new DecayingValue(HALF_LIFE_MS);
    private final Map<String, DecayingValue> work = new HashMap<>();
    private long admittedMs = Long.MIN_VALUE / 2;

    PressureDemand.Rank demand(long nowMs) {
      work.values().removeIf(value -> value.at(nowMs) < MIN_WORK);
      List<Map.Entry<String, Double>> sorted =
          work.entrySet().stream()
              .map(entry -> Map.entry(entry.getKey(), entry.getValue().at(nowMs)))
              .sorted(Comparator.comparingDouble(entry -> -entry.getValue()))
              .toList();
      Map<String, Double> named = new HashMap<>();
      double rest = 0;
      for (Map.Entry<String, Double> entry : sorted) {
        if (named.size() < NAMED_ORGANISATIONS) {
          named.put(entry.getKey(), entry.getValue());
        } else {
          rest += entry.getValue();
        }
      }
      return new PressureDemand.Rank(
          offered.at(nowMs),
          late.at(nowMs),
          nowMs - admittedMs,
          named,
          rest,
          sorted.size() - named.size());
    }
  }

  private final Clock clock;
  private final IntSupplier vms;
  private final Map<String, Map<Integer, Own>> ownByService = new HashMap<>();
  private Map<String, PressureDemand> toldByService = Map.of();
  private long toldSinceMs = Long.MIN_VALUE / 2;
  private long toldMs = Long.MIN_VALUE / 2;
  private long lateSinceMs = Long.MIN_VALUE / 2;
  private long lateMs = Long.MIN_VALUE / 2;

  /**
   * Creates a view without requests.
   *
   * @param vms returns the number of VMs
   */
  public SharedPressure(Clock clock, IntSupplier vms) {
    this.clock = clock;
    this.vms = vms;
  }

  /** Returns whether there are so many VMs that one sees too few requests itself. */
  private boolean isNeeded() {
    return vms.getAsInt() >= MIN_VMS;
  }

  /**
   * Records a request when it is first decided on.
   *
   * @param work its prompt tokens
   * @param late whether even the best engine is expected to answer too late
   */
  void onRequest(String service, int rank, String organisation, double work, boolean late) {
    long now = clock.nowMs();
    Own own = own(service, rank);
    own.offered.add(1, now);
    own.work
        .computeIfAbsent(organisation, name -> new DecayingValue(WORK_HALF_LIFE_MS))
        .add(work, now);
    if (late) {
      addLate(own);
    }
  }

  /** Records that a request which was expected in time had its first event too late. */
  void onLate(String service, int rank) {
    addLate(own(service, rank));
  }

  private void addLate(Own own) {
    long now = clock.nowMs();
    own.late.add(1, now);
    if (now - lateMs > TELLING_MS) {
      lateSinceMs = now;
    }
    lateMs = now;
  }

  /** Records that a request was admitted. */
  void onAdmitted(String service, int rank) {
    own(service, rank).admittedMs = clock.nowMs();
  }

  private Own own(String service, int rank) {
    return ownByService
        .computeIfAbsent(service, name -> new TreeMap<>())
        .computeIfAbsent(rank, key -> new Own());
  }

  /** Returns this VM's requests, to tell other VMs; none while no VM has late requests. */
  public List<PressureDemand> own() {
    long now = clock.nowMs();
    boolean others =
        now - toldMs <= MAX_AGE_MS
            && toldByService.values().stream()
                .flatMap(demand -> demand.ranks().values().stream())
                .anyMatch(rank -> rank.lateShare() > 0.01);
    if (!isNeeded() || (!others && now - lateMs > TELLING_MS)) {
      return List.of();
    }
    return ownByService.keySet().stream().map(service -> ownDemand(service, now)).toList();
  }

  private PressureDemand ownDemand(String service, long nowMs) {
    Map<Integer, PressureDemand.Rank> ranks = new HashMap<>();
    ownByService.get(service).forEach((rank, own) -> ranks.put(rank, own.demand(nowMs)));
    return new PressureDemand(service, ranks);
  }

  /** Records the sums over all VMs. */
  public void onFleet(List<PressureDemand> sums) {
    Map<String, PressureDemand> byService = new HashMap<>();
    sums.forEach(demand -> byService.put(demand.service(), demand));
    if (byService.isEmpty() || clock.nowMs() - toldMs > MAX_AGE_MS) {
      toldSinceMs = clock.nowMs();
    }
    toldByService = byService;
    toldMs = clock.nowMs();
  }

  /** Returns the requests of all VMs; empty if other VMs told none lately. */
  Optional<PressureDemand> of(String service) {
    boolean fresh = clock.nowMs() - toldMs <= MAX_AGE_MS && isNeeded();
    return fresh ? Optional.ofNullable(toldByService.get(service)) : Optional.empty();
  }

  /** Returns whether all VMs have had the time to tell what they admitted. */
  boolean isComplete() {
    return clock.nowMs() - toldSinceMs >= COMPLETE_MS;
  }

  /** Returns whether this VM's first late requests are so recent that others may tell theirs. */
  boolean isAwaited() {
    return isNeeded() && clock.nowMs() - lateSinceMs < COMPLETE_MS;
  }
}
