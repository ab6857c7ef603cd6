package org.zinniaspan.inventory;

/**
 * An entry of the platform's list of VMs.
 *
 * @param name unique name
 * @param zone availability zone
 * @param role {@code entry} for a VM that runs the router, {@code endpoint} for one that runs an
 *     endpoint
 * @param address peer address of a VM of role {@code entry}, as host:port
 * @param state {@code live} or {@code leaving}
 * @param sinceMs milliseconds since the epoch at which the VM became live
 */
public record VmEntry(
    String name, String zone, String role, String address, String state, long sinceMs) {

  /** Role of a VM that runs the router. */
  public static final String ROLE_ENTRY = "entry";

  /** Role of a VM that runs an endpoint. */
  public static final String ROLE_ENDPOINT = "endpoint";

  /** Returns whether this VM runs the router. */
  public boolean isEntry() {
    return ROLE_ENTRY.equals(role);
  }

  /** Returns whether this VM is shutting down. */
  public boolean isLeaving() {
    return "leaving".equals(state);
  }
}
