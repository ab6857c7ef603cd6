package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.membership.RendezvousHash;

/**
 * What a first attempt would get if one VM, found by hashing over the list, ran each key.
 *
 * <p>The runner refuses what it cannot prove to be the first attempt: while it is young, or while
 * the key had another runner within the retry horizon.
 */
final class HashedRunnerModel {

  private final SimulatedZone zone;
  private final Map<Long, List<String>> listsByRevision = new HashMap<>();
  private final Map<Long, Long> sinceMs = new HashMap<>();
  private final long startMs;

  HashedRunnerModel(SimulatedZone zone) {
    this.zone = zone;
    this.startMs = zone.clock.nowMs();
  }

  /** Returns whether an attempt at a VM is answered; otherwise its outcome is unknown. */
  boolean isAnswered(String vm, String key) {
    observe();
    SimulatedZone.Vm asked = zone.vms.get(vm);
    long revision = revisionAt(asked);
    String owner = owner(key, revision);
    SimulatedZone.Vm runner = zone.vms.get(owner);
    boolean reached = runner != null && !zone.isPaused(owner) && !zone.isCut(vm, owner);
    return reached
        && revisionAt(runner) == revision
        && !isRecent(runner.incarnation)
        && !hasMoved(key, owner);
  }

  /** Notes the lists in force; call it as time passes. */
  void observe() {
    for (SimulatedZone.Vm vm : zone.vms.values()) {
      long revision = revisionAt(vm);
      if (revision == 0) {
        continue;
      }
      listsByRevision.putIfAbsent(
          revision,
          vm.store.current().vms().entryVmsOf(SimulatedZone.ZONE).stream()
              .map(VmEntry::name)
              .toList());
      sinceMs.putIfAbsent(revision, zone.clock.nowMs());
    }
  }

  private static long revisionAt(SimulatedZone.Vm vm) {
    return vm.store.current().revision(DocumentName.VMS);
  }

  private String owner(String key, long revision) {
    return RendezvousHash.ranked(key, listsByRevision.get(revision), 1).get(0);
  }

  private boolean isRecent(long timeMs) {
    long ageMs = zone.clock.nowMs() - timeMs;
    return timeMs > startMs && ageMs < SimulatedZone.SETTINGS.horizonMs();
  }

  private boolean hasMoved(String key, String owner) {
    return sinceMs.keySet().stream()
        .filter(revision -> !owner(key, revision).equals(owner))
        .anyMatch(revision -> isRecentlyReplaced(revision));
  }

  private boolean isRecentlyReplaced(long revision) {
    return sinceMs.keySet().stream()
        .filter(later -> later > revision)
        .mapToLong(sinceMs::get)
        .min()
        .stream()
        .anyMatch(this::isRecent);
  }
}
