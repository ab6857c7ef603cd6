package org.zinniaspan.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;

/** Membership that takes the platform's list of VMs as is, without failure detection. */
public final class ListedMembership implements Membership {

  private final Member self;
  private final String zone;
  private final Supplier<VmList> vmList;

  /** Creates a membership view of the list for a process of the given availability zone. */
  public ListedMembership(Member self, String zone, Supplier<VmList> vmList) {
    this.self = self;
    this.zone = zone;
    this.vmList = vmList;
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> live() {
    Stream<Member> others =
        vmList.get().entryVmsOf(zone).stream()
            .filter(vm -> !vm.name().equals(self.vm()))
            .map(vm -> new Member(vm.name(), vm.sinceMs(), vm.address(), vm.isLeaving()));
    return Stream.concat(Stream.of(self), others).sorted(Comparator.comparing(Member::vm)).toList();
  }

  @Override
  public long changedAtMs() {
    return vmList.get().asOfMs();
  }

  @Override
  public Optional<String> addressOf(String vm) {
    return vmList.get().vms().stream()
        .filter(entry -> entry.name().equals(vm))
        .map(VmEntry::address)
        .findFirst();
  }
}
