package org.zinniaspan.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.testkit.VirtualClock;
import org.zinniaspan.testkit.VirtualNetwork;

/** Simulates the VMs of one availability zone on a virtual network. */
final class GossipFleet {

  static final String ZONE = "zone-1";
  private static final int PACKET_OVERHEAD_BYTES = 40;
  private static final int LENGTH_FIELD_BYTES = 4;

  final VirtualClock clock = new VirtualClock(1_000_000);
  final VirtualNetwork network;
  final Map<String, GossipMembership> vms = new LinkedHashMap<>();
  private final Map<String, Integer> incarnations = new HashMap<>();
  private VmList list = new VmList(0, List.of());
  long sentBytes;

  GossipFleet(int count, long seed) {
    network = new VirtualNetwork(clock, seed);
    for (int i = 0; i < count; i++) {
      start(name(i));
    }
    list(List.copyOf(vms.keySet()), List.of());
  }

  static String name(int number) {
    return String.format("vm-%03d", number);
  }

  /** Replaces the platform's list of VMs. */
  void list(List<String> names, List<String> leaving) {
    list =
        new VmList(
            clock.nowMs(),
            names.stream()
                .map(
                    vm ->
                        new VmEntry(
                            vm,
                            ZONE,
                            "entry",
                            "10.0.0.1:8081",
                            leaving.contains(vm) ? "leaving" : "live",
                            0))
                .toList());
  }

  GossipMembership start(String vm) {
    long incarnation = clock.nowMs() + incarnations.merge(vm, 1, Integer::sum);
    Member self = new Member(vm, incarnation, "10.0.0.1:8081", false);
    GossipMembership membership =
        new GossipMembership(self, ZONE, GossipSettings.withSeed(7), () -> list, clock);
    PeerLink link = network.link(vm, incarnation);
    membership.connect(
        (to, message) -> {
          sentBytes += message.build().getSerializedSize() + vm.length() + 10;
          sentBytes += LENGTH_FIELD_BYTES + PACKET_OVERHEAD_BYTES;
          link.send(to, message);
        },
        heartbeat -> {});
    network.start(vm, incarnation, membership, membership);
    vms.put(vm, membership);
    return membership;
  }

  void kill(String vm) {
    network.kill(vm);
    vms.remove(vm);
  }

  static List<String> names(GossipMembership membership) {
    return membership.live().stream().map(Member::vm).toList();
  }

  boolean hasConverged() {
    List<String> all = vms.keySet().stream().sorted().toList();
    return vms.values().stream().allMatch(membership -> names(membership).equals(all));
  }

  /** Returns the milliseconds until all views contain exactly the running VMs, or the limit. */
  long convergenceMs(long limitMs) {
    long start = clock.nowMs();
    while (!hasConverged() && clock.nowMs() - start < limitMs) {
      network.advance(10);
    }
    return clock.nowMs() - start;
  }

  /** Returns the number of running VMs missing from views, summed over all views. */
  int missingCount() {
    int missing = 0;
    for (GossipMembership membership : vms.values()) {
      List<String> lacking = new ArrayList<>(vms.keySet());
      lacking.removeAll(names(membership));
      missing += lacking.size();
    }
    return missing;
  }

  String views() {
    return vms.entrySet().stream()
        .map(entry -> entry.getKey() + " has live members " + names(entry.getValue()))
        .collect(Collectors.joining("; "));
  }
}
