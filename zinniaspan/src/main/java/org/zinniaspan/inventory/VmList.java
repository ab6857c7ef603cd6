package org.zinniaspan.inventory;

import java.util.List;

/**
 * The platform's lagging list of VMs.
 *
 * @param asOfMs milliseconds since the epoch at which the list was made
 * @param vms VMs, live and leaving
 */
public record VmList(long asOfMs, List<VmEntry> vms) {

  /** Fills the default of an absent list. */
  public VmList {
    vms = vms == null ? List.of() : List.copyOf(vms);
  }

  /** Returns the entry VMs of an availability zone. */
  public List<VmEntry> entryVmsOf(String zone) {
    return vms.stream().filter(vm -> vm.isEntry() && vm.zone().equals(zone)).toList();
  }

  /** Returns whether a VM of that name is listed as leaving. */
  public boolean isLeaving(String name) {
    return vms.stream().anyMatch(vm -> vm.name().equals(name) && vm.isLeaving());
  }
}
