package org.zinniaspan.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Runs random requests and faults on four virtual VMs and checks the rules of {@link
 * DispatchFleet}.
 */
class DispatchFuzzTest {

  private static final int VMS = 4;
  private static final long RESPONSE_GRACE_MS = 110;
  private static final long SETTLE_MS = 2_500;
  private static final long MAX_WORK_MS = 4_000;

  private record RequestSpec(int vm, int tier, int organisation, boolean preemptible) {}

  private static void submit(DispatchFleet fleet, RequestSpec spec) {
    String vm = "vm-" + spec.vm();
    if (fleet.vms.containsKey(vm) && !fleet.vms.get(vm).paused) {
      fleet.submit(
          vm,
          DispatchFleet.CLASSES.get(spec.tier()),
          "org-" + spec.organisation(),
          spec.preemptible() && spec.tier() > 0);
    }
  }

  private static Action.Independent<DispatchFleet> submitActions() {
    Arbitrary<RequestSpec> spec =
        Combinators.combine(
                Arbitraries.integers().between(0, VMS - 1),
                Arbitraries.integers().between(0, 3),
                Arbitraries.integers().between(0, 2),
                Arbitraries.of(true, false))
            .as(RequestSpec::new);
    return () ->
        spec.list()
            .ofMinSize(1)
            .ofMaxSize(8)
            .map(
                list ->
                    Transformer.mutate(
                        "submit " + list, fleet -> list.forEach(one -> submit(fleet, one))));
  }

  private static Action.Independent<DispatchFleet> advanceActions() {
    return () ->
        Arbitraries.longs()
            .between(1, 800)
            .map(
                ms ->
                    Transformer.mutate(
                        "advance ms " + ms,
                        fleet -> {
                          fleet.advance(ms);
                          fleet.checkDeadlines(RESPONSE_GRACE_MS);
                        }));
  }

  private static Action.Independent<DispatchFleet> messageFaultActions() {
    return () ->
        Combinators.combine(
                Arbitraries.of(0.0, 0.02, 0.1),
                Arbitraries.of(0.0, 0.2),
                Arbitraries.longs().between(3, 60))
            .as(
                (loss, duplication, delayMs) ->
                    Transformer.mutate(
                        "message loss "
                            + loss
                            + " duplication "
                            + duplication
                            + " maximum delay ms "
                            + delayMs,
                        fleet ->
                            fleet.network.setFaultRates(loss, duplication).setDelays(1, delayMs)));
  }

  private static Action.Independent<DispatchFleet> faultActions(String name, Fault fault) {
    return () ->
        Arbitraries.integers()
            .between(0, VMS - 1)
            .map(i -> Transformer.mutate(name + " " + i, fleet -> apply(fleet, fault, i)));
  }

  private interface Fault {
    void apply(DispatchFleet fleet, String vm, int number);
  }

  private static void apply(DispatchFleet fleet, Fault fault, int number) {
    fleet.faultOrFallbackSeen = true;
    fault.apply(fleet, "vm-" + number, number);
  }

  private static void pause(DispatchFleet fleet, String vm) {
    if (fleet.vms.containsKey(vm)) {
      fleet.vms.get(vm).paused = true;
      fleet.network.pause(vm);
    }
  }

  private static void resume(DispatchFleet fleet, String vm) {
    if (fleet.vms.containsKey(vm)) {
      fleet.network.resume(vm);
      fleet.vms.get(vm).paused = false;
      fleet.advance(60);
    }
  }

  private static void replace(DispatchFleet fleet, String vm) {
    fleet.kill(vm);
    fleet.start(vm);
  }

  private static void refreshView(DispatchFleet fleet, String vm) {
    if (fleet.vms.containsKey(vm)) {
      fleet.refreshView(vm, member -> !fleet.vms.get(member.vm()).paused);
    }
  }

  private static void isolate(DispatchFleet fleet, String vm) {
    fleet.vms.keySet().stream()
        .filter(other -> !other.equals(vm))
        .forEach(other -> fleet.network.partition(vm, other));
  }

  private static ActionChainArbitrary<DispatchFleet> faultFree() {
    return ActionChain.startWith(() -> new DispatchFleet(VMS, 7, QueueLimits.DEFAULT))
        .withAction(5, submitActions())
        .withAction(4, advanceActions())
        .withAction(1, messageFaultActions())
        .withMaxTransformations(40);
  }

  @Provide
  Arbitrary<ActionChain<DispatchFleet>> calmChains() {
    return faultFree();
  }

  @Provide
  Arbitrary<ActionChain<DispatchFleet>> faultChains() {
    return faultFree()
        .withAction(1, faultActions("pause", (fleet, vm, n) -> pause(fleet, vm)))
        .withAction(2, faultActions("resume", (fleet, vm, n) -> resume(fleet, vm)))
        .withAction(1, faultActions("replace", (fleet, vm, n) -> replace(fleet, vm)))
        .withAction(2, faultActions("refresh view", (fleet, vm, n) -> refreshView(fleet, vm)))
        .withAction(1, faultActions("isolate", (fleet, vm, n) -> isolate(fleet, vm)))
        .withAction(1, faultActions("heal", (fleet, vm, n) -> fleet.network.healPartitions()));
  }

  private static void heal(DispatchFleet fleet) {
    fleet.network.healPartitions();
    fleet.network.setFaultRates(0, 0).setDelays(1, 3);
    fleet.vms.keySet().forEach(vm -> resume(fleet, vm));
    fleet.vms.keySet().forEach(vm -> fleet.refreshView(vm, member -> true));
  }

  private static void checkSettled(DispatchFleet fleet) {
    fleet.advance(SETTLE_MS);
    fleet.checkDeadlines(RESPONSE_GRACE_MS);
    assertThat(fleet.violations).isEmpty();
    for (DispatchFleet.Vm vm : fleet.vms.values()) {
      assertWithMessage("gateway is in fallback")
          .that(vm.slots.isFallback(DispatchFleet.POOL))
          .isFalse();
    }
    fleet.advance(MAX_WORK_MS);
    fleet.checkDeadlines(RESPONSE_GRACE_MS);
    assertThat(fleet.violations).isEmpty();
    assertWithMessage("slots recorded as held after all work ended")
        .that(fleet.slotsRecordedAsHeld())
        .isEqualTo(0);
    DispatchFleet.TrackedRequest probe =
        fleet.submit("vm-0", DispatchFleet.CLASSES.get(0), "org-0", false);
    fleet.advance(100);
    assertWithMessage("request while all slots are free is granted")
        .that(probe.isGranted())
        .isTrue();
  }

  @Property(seed = "20261203", tries = 150, shrinking = ShrinkingMode.BOUNDED)
  void whileVmsReachEachOtherNoEndpointGetsMoreThanItsSlots(
      @ForAll("calmChains") ActionChain<DispatchFleet> chain) {
    DispatchFleet fleet = chain.run();
    if (!fleet.faultOrFallbackSeen) {
      assertThat(fleet.maxBusySlots).isAtMost(DispatchFleet.SLOTS);
    }
    heal(fleet);
    checkSettled(fleet);
  }

  @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.BOUNDED)
  void underFaultsEachRequestIsAnsweredByItsDeadlineAndTheZoneRecovers(
      @ForAll("faultChains") ActionChain<DispatchFleet> chain) {
    DispatchFleet fleet = chain.run();
    heal(fleet);
    checkSettled(fleet);
  }
}
