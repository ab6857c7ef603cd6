package org.zinniaspan.membership;

import java.util.List;
import java.util.Optional;

/**
 * The VMs of the own availability zone, as this process sees them.
 *
 * <p>Views of two processes may differ at any time; nothing that must happen at most once may rest
 * on a view alone.
 */
public interface Membership {

  /** Returns this process. */
  Member self();

  /** Returns the live members in order of name, this process included. */
  List<Member> live();

  /** Returns milliseconds since the epoch at which {@link #live} last changed. */
  long changedAtMs();

  /** Returns the address of a VM that is live, or was, or is only listed. */
  Optional<String> addressOf(String vm);

  /**
   * Returns whether the view has been renewed since the start or the last pause of this process.
   *
   * <p>While it is false, {@link #live} may hold VMs that have ended.
   */
  default boolean isSettled() {
    return true;
  }

  /** Returns the live member of that name. */
  default Optional<Member> member(String vm) {
    return live().stream().filter(member -> member.vm().equals(vm)).findFirst();
  }

  /** Returns the live member that owns a role; members that leave own none if others stay. */
  default Member ownerOf(String role) {
    List<Member> staying = live().stream().filter(member -> !member.leaving()).toList();
    return RendezvousHash.owner(role, staying.isEmpty() ? live() : staying);
  }
}
