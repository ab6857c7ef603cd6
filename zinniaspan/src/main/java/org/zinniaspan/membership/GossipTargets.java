package org.zinniaspan.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;

/**
 * Selects the receivers of a heartbeat: the next live member in name order, and random others.
 *
 * <p>Including the next member ensures that, where views agree, each member is sent a heartbeat in
 * each period. Not thread-safe.
 */
final class GossipTargets {

  private final String self;
  private final String zone;
  private final int fanOut;
  private final Random random;

  GossipTargets(String self, String zone, int fanOut, long seed) {
    this.self = self;
    this.zone = zone;
    this.fanOut = fanOut;
    this.random = new Random(31 * seed + self.hashCode());
  }

  /** Returns the receivers for one period; all live members if there are at most the fan-out. */
  List<String> heartbeatTargets(List<String> live) {
    if (live.size() <= fanOut) {
      return live;
    }
    List<String> others = new ArrayList<>(live);
    Collections.shuffle(others, random);
    String successor =
        live.stream().filter(vm -> vm.compareTo(self) > 0).findFirst().orElse(live.get(0));
    others.remove(successor);
    List<String> targets = new ArrayList<>(others.subList(0, fanOut - 1));
    targets.add(successor);
    return targets;
  }

  /** Returns a random VM of this availability zone that is listed but not live, to be probed. */
  Optional<String> probeTarget(VmList list, List<String> live) {
    List<String> notLive =
        list.entryVmsOf(zone).stream()
            .map(VmEntry::name)
            .filter(vm -> !vm.equals(self) && !live.contains(vm))
            .toList();
    return notLive.isEmpty()
        ? Optional.empty()
        : Optional.of(notLive.get(random.nextInt(notLive.size())));
  }
}
