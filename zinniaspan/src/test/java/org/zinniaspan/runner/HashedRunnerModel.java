package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Model of an alternative design, in which one VM, selected by hashing over the list, runs all
 * calls of a key; predicts whether a first attempt is answered.
 *
 * <p>That VM refuses a call unless it can prove that it is the first attempt. It can't if its
 * process started within the retry horizon, or if another VM was selected for the key within the
 * horizon.
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
    SimulatedZone.Vm receiver = zone.vms.get(vm);
    long revision = revisionAt(receiver);
    String owner = owner(key, revision);
    SimulatedZone.Vm runner = zone.vms.get(owner);
    boolean reached = runner != null && !zone.isPaused(owner) && !zone.isCut(vm, owner);
    return reached
        && revisionAt(runner) == revision
        && !isRecent(runner.incarnation)
        && !hasMoved(key, owner);
  }

  /** Records the lists in force; must be called as time passes. */
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
