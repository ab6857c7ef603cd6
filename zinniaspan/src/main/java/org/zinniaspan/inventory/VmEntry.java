package org.zinniaspan.inventory;

/**
 * One row of the platform's list of VMs.
 *
 * @param name unique name
 * @param zone availability zone
 * @param role {@code entry} for a VM of the system, {@code endpoint} for a back end
 * @param address peer address of an entry VM as host:port
 * @param state {@code live} or {@code leaving}
 * @param sinceMs milliseconds since the epoch at which the VM became live
 */
public record VmEntry(
    String name, String zone, String role, String address, String state, long sinceMs) {

  /** Role of a VM that runs a process of the system. */
  public static final String ROLE_ENTRY = "entry";

  /** Role of a VM that runs a back end. */
  public static final String ROLE_ENDPOINT = "endpoint";

  /** Returns whether this VM runs a process of the system. */
  public boolean isEntry() {
    return ROLE_ENTRY.equals(role);
  }

  /** Returns whether this VM is about to stop. */
  public boolean isLeaving() {
    return "leaving".equals(state);
  }
}
