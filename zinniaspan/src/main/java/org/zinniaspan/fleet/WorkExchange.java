package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.StreamWork;
import org.zinniaspan.peer.proto.ServiceWork;

/**
 * Sums the work of streams over the VMs of a zone, and over the zones, at the zone's observer.
 *
 * <p>What was not renewed for {@value #MAX_AGE_MS} ms is left out. Not thread-safe.
 */
final class WorkExchange {

  /** Age up to which the work of a VM or zone counts, in milliseconds. */
  private static final long MAX_AGE_MS = 3_000;

  private record Entry(List<ServiceWork> work, long atMs) {}

  private final StreamWork own;
  private final Clock clock;
  private final Map<String, Entry> byMember = new HashMap<>();
  private final Map<String, Entry> byZone = new HashMap<>();

  WorkExchange(StreamWork own, Clock clock) {
    this.own = own;
    this.clock = clock;
  }

  /** Records the work of a VM of this zone. */
  void onMember(String address, List<ServiceWork> work) {
    byMember.put(address, new Entry(work, clock.nowMs()));
  }

  /** Records the work of all VMs of another zone. */
  void onZone(String zone, List<ServiceWork> work) {
    byZone.put(zone, new Entry(work, clock.nowMs()));
  }

  /** Returns the work of this VM. */
  List<ServiceWork> ownWork() {
    return own.own().stream()
        .map(
            shares ->
                ServiceWork.newBuilder()
                    .setService(shares.service())
                    .setTolerant(shares.tolerant())
                    .setStrict(shares.strict())
                    .build())
        .toList();
  }

  /** Returns the work of the VMs of this zone. */
  List<ServiceWork> zoneWork() {
    List<ServiceWork> all = new ArrayList<>(ownWork());
    fresh(byMember).forEach(all::addAll);
    return sum(all);
  }

  /** Returns the work of all VMs. */
  List<ServiceWork> fleetWork() {
    List<ServiceWork> all = new ArrayList<>(zoneWork());
    fresh(byZone).forEach(all::addAll);
    return sum(all);
  }

  /** Uses the sums over all VMs that the zone's observer knows. */
  void useFleetWork(List<ServiceWork> work) {
    own.onFleet(
        work.stream()
            .map(w -> new StreamWork.Shares(w.getService(), w.getTolerant(), w.getStrict()))
            .toList());
  }

  private List<List<ServiceWork>> fresh(Map<String, Entry> entries) {
    entries.values().removeIf(entry -> clock.nowMs() - entry.atMs() > MAX_AGE_MS);
    return entries.values().stream().map(Entry::work).toList();
  }

  private static List<ServiceWork> sum(Collection<ServiceWork> works) {
    Map<String, ServiceWork> sums = new TreeMap<>();
    for (ServiceWork work : works) {
      sums.merge(work.getService(), work, WorkExchange::sum);
    }
    return List.copyOf(sums.values());
  }

  private static ServiceWork sum(ServiceWork a, ServiceWork b) {
    return ServiceWork.newBuilder()
        .setService(a.getService())
        .setTolerant(a.getTolerant() + b.getTolerant())
        .setStrict(a.getStrict() + b.getStrict())
        .build();
  }
}
