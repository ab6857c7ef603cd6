package org.zinniaspan.fleet;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.PermitShare;

/**
 * Determines this VM's share of endpoints' request limits from the VMs of its zone.
 *
 * <p>Each availability zone of the settings has the same part, also while it cannot be heard of: a
 * zone that is cut off from the others must not send what they may send. Not thread-safe.
 */
final class MemberPermitShare implements Supplier<PermitShare> {

  /** Time for which a share is used before it is determined again, in milliseconds. */
  private static final long MAX_AGE_MS = 200;

  private final FleetMembership members;
  private final List<String> zones;
  private final Clock clock;
  private PermitShare share;
  private long determinedMs;

  /**
   * Creates the share of a VM.
   *
   * @param zones all availability zones with VMs; that of this VM is added if it is missing
   */
  MemberPermitShare(FleetMembership members, Collection<String> zones, Clock clock) {
    this.members = members;
    TreeSet<String> sorted = new TreeSet<>(zones);
    sorted.add(members.zone());
    this.zones = List.copyOf(sorted);
    this.clock = clock;
  }

  @Override
  public PermitShare get() {
    long now = clock.nowMs();
    if (share == null || now - determinedMs > MAX_AGE_MS) {
      determinedMs = now;
      share = determine();
    }
    return share;
  }

  private PermitShare determine() {
    // A VM that is leaving still sends, though it is no longer listed.
    TreeSet<String> vms = new TreeSet<>(members.live(members.zone()));
    vms.add(members.self());
    return new PermitShare(
        zones.indexOf(members.zone()),
        zones.size(),
        vms.headSet(members.self()).size(),
        vms.size());
  }
}
