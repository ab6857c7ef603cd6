package org.zinniaspan.runner;

import java.util.Collection;
import java.util.List;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Voters of an availability zone at one revision of the platform's list of VMs.
 *
 * @param revision revision of the list
 * @param voters names of the voters
 * @param newDeployment whether every entry VM of every availability zone came up less than the
 *     retry horizon before the list was made, and this process started less than the horizon after
 *     it
 */
record VoterList(long revision, List<String> voters, boolean newDeployment) {

  private static final int MAX_VOTERS = 5;

  VoterList {
    voters = List.copyOf(voters);
  }

  /**
   * Returns the voters of a zone: all its entry VMs, or five of them, selected by rendezvous
   * hashing.
   *
   * @param list the platform's list
   * @param zone availability zone
   * @param revision revision of the list
   * @param startedMs start time of this process in milliseconds
   * @param horizonMs retry horizon in milliseconds
   */
  static VoterList of(VmList list, String zone, long revision, long startedMs, long horizonMs) {
    List<String> names = list.entryVmsOf(zone).stream().map(VmEntry::name).toList();
    boolean startedNearList = startedMs - list.asOfMs() < horizonMs;
    boolean newDeployment =
        list.vms().stream()
            .filter(VmEntry::isEntry)
            .allMatch(vm -> startedNearList && list.asOfMs() - vm.sinceMs() < horizonMs);
    return new VoterList(revision, RendezvousHash.ranked(zone, names, MAX_VOTERS), newDeployment);
  }

  /** Returns the size of a majority; any two majorities share at least one voter. */
  int majority() {
    return voters.size() / 2 + 1;
  }

  /** Returns whether the given VMs include at least one voter of every possible majority. */
  boolean intersectsEveryMajority(Collection<String> vms) {
    long members = voters.stream().filter(vms::contains).count();
    return members >= voters.size() - majority() + 1;
  }
}
