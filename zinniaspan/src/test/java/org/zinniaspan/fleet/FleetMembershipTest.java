package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.membership.RendezvousHash;

class FleetMembershipTest {

  static {
    Configurator.setLevel("zinniaspan", Level.WARN);
  }

  private static FleetSimulation fleet(int vms, int zones) {
    return FleetSimulation.fleet(7, PlatformBounds.DEFAULT, vms, zones);
  }

  private static void assertAllKnowTheirZone(FleetSimulation fleet) {
    fleet
        .vmsByZone()
        .forEach(
            (zone, vms) ->
                vms.forEach(
                    vm ->
                        assertWithMessage("%s of %s", vm.address, zone)
                            .that(vm.members.live(zone))
                            .containsExactlyElementsIn(
                                vms.stream().map(other -> other.address).toList())));
  }

  @Nested
  class StartOfAllVms {

    @Test
    void showsEachItsZoneWithinSeconds() {
      for (int vms : new int[] {8, 95, 371}) {
        FleetSimulation fleet = fleet(vms, vms < 10 ? 3 : 6);
        fleet.advance(6_000);
        assertAllKnowTheirZone(fleet);
      }
    }

    @Test
    void showsTheRepresentativesOfOtherZonesForGood() {
      FleetSimulation fleet = fleet(95, 6);
      fleet.advance(12_000);
      fleet.advance(
          20_000,
          () -> {
            FleetSimulation.Vm vm = fleet.vms.get("vm-050");
            for (int zone = 0; zone < 6; zone++) {
              String name = "zone-" + zone;
              List<String> all = fleet.vms.get("vm-00" + zone).members.live(name);
              assertThat(vm.members.live(name))
                  .containsAtLeastElementsIn(
                      RendezvousHash.ranked(FleetMembership.REPRESENTATIVE_ROLE, all, 1));
            }
          });
    }

    @Test
    void worksWithOneSeedOfThree() {
      FleetSimulation fleet = fleet(40, 4);
      fleet.kill("vm-000");
      fleet.kill("vm-002");
      fleet.advance(8_000);
      assertAllKnowTheirZone(fleet);
    }
  }

  @Nested
  class Changes {

    private final FleetSimulation fleet = fleet(30, 3);

    Changes() {
      fleet.advance(8_000);
    }

    @Test
    void removeKilledVms() {
      fleet.kill("vm-003");
      fleet.advance(FleetMembership.LIVE_MS + 2_000);
      assertAllKnowTheirZone(fleet);
    }

    @Test
    void addNewVms() {
      fleet.start("vm-new", "zone-1", List.of("vm-000"));
      fleet.advance(6_000);
      assertAllKnowTheirZone(fleet);
    }

    @Test
    void survivePausesLongerThanTheLimit() {
      fleet.vms.get("vm-004").pause(FleetMembership.LIVE_MS + 5_000, false);
      fleet.advance(FleetMembership.LIVE_MS + 5_100);
      assertThat(fleet.vms.get("vm-004").members.live("zone-1").size()).isAtLeast(9);
      fleet.advance(5_000);
      assertAllKnowTheirZone(fleet);
    }

    @Test
    void doNotComeFromStepsOfTheTimeOfDay() {
      fleet.vms.values().forEach(vm -> vm.stepMs = -60_000);
      fleet.advance(3_000);
      assertAllKnowTheirZone(fleet);
    }

    @Test
    void removeVmsThatLeave() {
      fleet.vms.get("vm-005").members.leave();
      fleet.advance(FleetMembership.LIVE_MS + 2_000);
      assertThat(fleet.vms.get("vm-008").members.live("zone-2")).doesNotContain("vm-005");
    }

    @Test
    void restoreTheViewAfterZonesWerePartitioned() {
      List<String> all = List.copyOf(fleet.vms.keySet());
      for (String a : all) {
        for (String b : all) {
          if (!fleet.vms.get(a).zone.equals(fleet.vms.get(b).zone)) {
            fleet.cut(a, b);
          }
        }
      }
      fleet.advance(15_000);
      assertAllKnowTheirZone(fleet);
      fleet.healLinks();
      fleet.advance(30_000);
      assertThat(fleet.vms.get("vm-009").members.zones()).hasSize(3);
    }
  }
}
