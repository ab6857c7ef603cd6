package org.zinniaspan.forwarding;

/**
 * The share of a VM in the slots of an endpoint with a request limit.
 *
 * @param zoneIndex number of its availability zone, from 0
 * @param zones number of availability zones
 * @param vmIndex number of the VM within its zone, from 0
 * @param vms number of VMs in its zone
 */
public record PermitShare(int zoneIndex, int zones, int vmIndex, int vms) {

  /** Returns the number of slots from one that the VM owns to the next. */
  long period() {
    return (long) zones * vms;
  }

  /** Returns the remainder of the numbers of its slots by the period. */
  long remainder() {
    return zoneIndex + (long) zones * vmIndex;
  }
}
