package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.ZoneCosts;

/**
 * Selects the VMs through which requests are relayed while this VM reaches no endpoint: any live VM
 * of this availability zone, or if none is left, of the next one by cost.
 *
 * <p>A VM that could not be reached, or could not take a request, is passed over for a while. Not
 * thread-safe.
 */
public final class RelayTargets {

  /** Time for which a VM that failed is passed over, in milliseconds. */
  private static final long SUSPECT_MS = 2_000;

  private final FleetMembership members;
  private final ZoneCosts zoneCosts;
  private final Random random;
  private final SuspectVms suspects;

  /** Creates a selection that passes no VM over. */
  public RelayTargets(FleetMembership members, ZoneCosts zoneCosts, Clock clock, Random random) {
    this.members = members;
    this.zoneCosts = zoneCosts;
    this.random = random;
    this.suspects = new SuspectVms(clock);
  }

  /** Returns the peer address of this VM. */
  public String self() {
    return members.self();
  }

  /**
   * Returns the peer address of a VM for the next request; empty if none is left.
   *
   * @param excluded peer addresses of the VMs that the request was sent to already
   * @param homes home regions of the request; outside of them, it is sent only to VMs of this
   *     region, where it is already
   */
  public Optional<String> choose(Set<String> excluded, HomeRegions homes) {
    List<String> zones = new ArrayList<>(members.zones());
    zones.removeIf(zone -> !zoneCosts.isInOwnRegion(zone) && !homes.admits(zoneCosts.region(zone)));
    Collections.shuffle(zones, random);
    zones.sort(Comparator.comparingDouble(zoneCosts::costMs));
    for (String zone : zones) {
      List<String> candidates = new ArrayList<>(members.live(zone));
      candidates.remove(members.self());
      candidates.removeAll(excluded);
      candidates.removeIf(suspects::contains);
      if (!candidates.isEmpty()) {
        return Optional.of(candidates.get(random.nextInt(candidates.size())));
      }
    }
    return Optional.empty();
  }

  /** Passes a VM over for a while. */
  public void suspect(String address) {
    suspects.add(address, SUSPECT_MS);
  }
}
