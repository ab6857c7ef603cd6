package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptCrash;
import org.zinniaspan.forwarding.PromptPart;

/** VMs tell each other which prompts waited at endpoints that crashed. */
class PromptSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int ZONES = 3;
  private static final int ENGINES = 12;

  /** Time within which all VMs have to know of crashes, in milliseconds: that of the rule. */
  private static final long CONTACT_MS = 3_000;

  private FleetSimulation fleet;

  private void start(int vms) {
    fleet = FleetSimulation.fleet(11, PlatformBounds.DEFAULT, vms, ZONES);
    for (int i = 0; i < ENGINES; i++) {
      fleet.store.put(FleetSimulation.endpoint("engine-" + i, "zone-" + i % ZONES, false));
    }
    fleet.advance(12_000);
  }

  private FleetSimulation.Vm vm(int number) {
    return fleet.vms.get(String.format("vm-%03d", number));
  }

  /** Lets an endpoint crash as it begins to answer a prompt of a VM. */
  private void crash(FleetSimulation.Vm vm, int number) {
    PromptCrash crash =
        new PromptCrash(
            "engine-" + number,
            "attempt-" + number,
            List.of("site", "subject", "dead", "own-" + number),
            true,
            vm.steadyMs());
    vm.quarantine.suspect(crash);
    vm.quarantine.confirm(crash.key());
  }

  private static Prompt prompt(String... parts) {
    return new Prompt(
        100, 10, List.of(parts).stream().map(part -> new PromptPart(part, 10)).toList());
  }

  private static boolean isQuarantined(FleetSimulation.Vm vm) {
    return vm.quarantine.find(() -> Set.of("site", "subject", "dead", "next")).isPresent();
  }

  private void assertAllQuarantine() {
    fleet
        .vms
        .values()
        .forEach(vm -> assertWithMessage(vm.address).that(isQuarantined(vm)).isTrue());
  }

  @Nested
  class CrashesSeenByDifferentVms {

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 95, 371})
    void quarantineThePromptAtAllVms(int vms) {
      start(vms);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(vms - 1), 1);
      fleet.advance(CONTACT_MS);
      assertAllQuarantine();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 95})
    void quarantineThePromptAtVmsThatStartLater(int vms) {
      start(vms);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(CONTACT_MS);
      fleet.start("vm-new", "zone-0", List.of("vm-000", "vm-001", "vm-002"));
      fleet.advance(CONTACT_MS);
      assertAllQuarantine();
    }

    @Test
    void areKnownAfterAllObserversWereReplaced() {
      start(24);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(CONTACT_MS);
      List.copyOf(fleet.vms.values()).stream()
          .filter(vm -> vm.engines.isObserver())
          .forEach(vm -> fleet.kill(vm.address));
      fleet.advance(5_000);
      fleet.start("vm-new", "zone-0", List.of("vm-000", "vm-001", "vm-002"));
      fleet.advance(8_000);
      assertAllQuarantine();
    }

    @Test
    void reachAnObserverThatStartsWithinItsCutZone() {
      start(6);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(CONTACT_MS);
      // All of zone-1 but vm-004 is gone; the others cannot be reached from there.
      fleet.kill("vm-001");
      fleet.vms.keySet().stream()
          .filter(address -> !address.equals("vm-004"))
          .forEach(
              address -> {
                fleet.cut("vm-004", address);
                fleet.cut("vm-new", address);
              });
      fleet.advance(5_000);
      fleet.start("vm-new", "zone-1", List.of("vm-004"));
      fleet.advance(CONTACT_MS);
      assertThat(isQuarantined(fleet.vms.get("vm-new"))).isTrue();
    }

    @Test
    void reachVmsThatWerePausedMeanwhile() {
      start(9);
      vm(4).pause(5_000, true);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(5_000 + CONTACT_MS);
      assertAllQuarantine();
    }

    @Test
    void arriveWhileMessagesAreLost() {
      start(24);
      fleet.lossRate = 0.1;
      crash(vm(0), 0);
      crash(vm(1), 1);
      fleet.advance(10_000);
      crash(vm(2), 2);
      fleet.advance(20_000);
      assertAllQuarantine();
    }
  }

  @Nested
  class ZonesThatAreCutOff {

    private void cutZone(String zone) {
      fleet.vms.values().stream()
          .filter(vm -> vm.zone.equals(zone))
          .forEach(
              vm ->
                  fleet.vms.values().stream()
                      .filter(other -> !other.zone.equals(zone))
                      .forEach(other -> fleet.cut(vm.address, other.address)));
    }

    @Test
    void quarantineWhatTheirOwnVmsObserved() {
      start(9);
      cutZone("zone-1");
      fleet.advance(5_000);
      crash(vm(1), 0);
      fleet.advance(700);
      crash(vm(4), 1);
      fleet.advance(CONTACT_MS);
      fleet
          .vms
          .values()
          .forEach(
              vm ->
                  assertWithMessage(vm.address)
                      .that(isQuarantined(vm))
                      .isEqualTo(vm.zone.equals("zone-1")));
    }

    @Test
    void knowWhatTheOthersObservedSoonAfterwards() {
      start(9);
      cutZone("zone-1");
      fleet.advance(5_000);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(8_000);
      fleet.healLinks();
      fleet.advance(15_000);
      assertAllQuarantine();
    }
  }

  @Nested
  class PartsThatWereAnswered {

    @Test
    void areReleasedAtAllVms() {
      start(24);
      crash(vm(0), 0);
      fleet.advance(700);
      crash(vm(1), 1);
      fleet.advance(CONTACT_MS);
      vm(5).quarantine.onAnswered(prompt("site", "subject", "dead", "sound").partIds());
      fleet.advance(CONTACT_MS);
      fleet
          .vms
          .values()
          .forEach(vm -> assertWithMessage(vm.address).that(vm.quarantine.size()).isEqualTo(0));
    }
  }

  @Test
  void quarantinesEndAtAllVms() {
    start(9);
    crash(vm(0), 0);
    fleet.advance(700);
    crash(vm(1), 1);
    fleet.advance(CONTACT_MS);
    assertAllQuarantine();
    fleet.advance(61_000);
    fleet
        .vms
        .values()
        .forEach(vm -> assertWithMessage(vm.address).that(vm.quarantine.size()).isEqualTo(0));
  }

  @Test
  void costNothingWithoutCrashes() {
    start(9);
    fleet
        .vms
        .values()
        .forEach(vm -> vm.quarantine.onAnswered(prompt("site", "subject", "own").partIds()));
    fleet.advance(5_000);
    fleet.vms.values().forEach(vm -> assertThat(vm.endpoints.exchange().sequence()).isEqualTo(0));
  }
}
