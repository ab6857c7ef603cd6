package org.zinniaspan.inventory;

import java.util.List;

/**
 * The platform's list of VMs, which lags behind the actual state.
 *
 * @param asOfMs milliseconds since the epoch at which the list was created
 * @param vms live and leaving VMs
 */
public record VmList(long asOfMs, List<VmEntry> vms) {

  /** Replaces an absent list by an empty one. */
  public VmList {
    vms = vms == null ? List.of() : List.copyOf(vms);
  }

  /** Returns the VMs of an availability zone that run the router. */
  public List<VmEntry> entryVmsOf(String zone) {
    return vms.stream().filter(vm -> vm.isEntry() && vm.zone().equals(zone)).toList();
  }

  /** Returns whether a VM of the given name is listed as leaving. */
  public boolean isLeaving(String name) {
    return vms.stream().anyMatch(vm -> vm.name().equals(name) && vm.isLeaving());
  }
}
