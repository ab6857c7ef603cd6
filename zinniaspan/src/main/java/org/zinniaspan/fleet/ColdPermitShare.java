package org.zinniaspan.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.PermitShare;

/**
 * Determines this VM's share of what cold endpoints take, which must not grow when VMs lose each
 * other.
 *
 * <p>Unlike in {@link MemberPermitShare}, VMs that are no longer heard of keep their part for some
 * minutes, as they may be cut off and still send. A VM that has just started, or has not found any
 * other one yet, takes the part of one VM of a large zone. Not thread-safe.
 */
final class ColdPermitShare implements Supplier<PermitShare> {

  /** Time for which a share is used before it is determined again, in milliseconds. */
  private static final long MAX_AGE_MS = 200;

  /** Time for which a VM that is not heard of keeps its part, in milliseconds. */
  private static final long KEPT_MS = 300_000;

  /** Time in which a VM that has started finds the others, in milliseconds. */
  private static final long SETTLING_MS = 5_000;

  /** Number of VMs that a zone has at most, as long as it is not known. */
  private static final int UNKNOWN_VMS = 128;

  private final FleetMembership members;
  private final List<String> zones;
  private final Clock clock;
  private final long startedMs;
  private final Map<String, Long> heardMs = new TreeMap<>();
  private boolean foundOthers;
  private PermitShare share;
  private long determinedMs;

  /**
   * Creates the share of a VM.
   *
   * @param zones all availability zones with VMs; that of this VM is added if it is missing
   */
  ColdPermitShare(FleetMembership members, Collection<String> zones, Clock clock) {
    this.members = members;
    TreeSet<String> sorted = new TreeSet<>(zones);
    sorted.add(members.zone());
    this.zones = List.copyOf(sorted);
    this.clock = clock;
    this.startedMs = clock.nowMs();
  }

  /** Records the live VMs; called often, so that a VM that is lost is known. */
  @Override
  public PermitShare get() {
    long now = clock.nowMs();
    if (share == null || now - determinedMs > MAX_AGE_MS) {
      determinedMs = now;
      share = determine(now);
    }
    return share;
  }

  private PermitShare determine(long now) {
    members.live(members.zone()).forEach(vm -> heardMs.put(vm, now));
    heardMs.put(members.self(), now);
    heardMs.values().removeIf(ms -> now - ms > KEPT_MS);
    foundOthers |= members.liveCount() > 1;
    int zone = zones.indexOf(members.zone());
    boolean settled = !members.hasSeeds() || (foundOthers && now - startedMs >= SETTLING_MS);
    if (!settled) {
      int vms = Math.max(UNKNOWN_VMS, heardMs.size());
      int own = Math.floorMod(members.self().hashCode(), vms);
      return new PermitShare(zone, zones.size(), own, vms);
    }
    int own = (int) heardMs.keySet().stream().takeWhile(vm -> !vm.equals(members.self())).count();
    return new PermitShare(zone, zones.size(), own, heardMs.size());
  }
}
