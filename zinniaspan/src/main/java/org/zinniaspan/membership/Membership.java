package org.zinniaspan.membership;

import java.util.List;
import java.util.Optional;

/**
 * The VMs of this process's availability zone, as known to this process.
 *
 * <p>The views of two processes may differ at any time, so whatever must happen at most once must
 * not rely on a view alone.
 */
public interface Membership {

  /** Returns the member that represents this process. */
  Member self();

  /** Returns the live members in name order, including this process. */
  List<Member> live();

  /** Returns when {@link #live} last changed, in milliseconds since the epoch. */
  long changedAtMs();

  /** Returns the address of a VM that is or was live, or that the platform lists. */
  Optional<String> addressOf(String vm);

  /**
   * Returns whether the view has been rebuilt since the start or the last pause of this process.
   *
   * <p>While this is false, {@link #live} may contain VMs that have stopped.
   */
  default boolean isSettled() {
    return true;
  }

  /** Returns the live member of the given name. */
  default Optional<Member> member(String vm) {
    return live().stream().filter(member -> member.vm().equals(vm)).findFirst();
  }

  /**
   * Returns the live member that owns a role, by rendezvous hashing; leaving members own roles only
   * if all members are leaving.
   */
  default Member ownerOf(String role) {
    List<Member> staying = live().stream().filter(member -> !member.leaving()).toList();
    return RendezvousHash.owner(role, staying.isEmpty() ? live() : staying);
  }
}
