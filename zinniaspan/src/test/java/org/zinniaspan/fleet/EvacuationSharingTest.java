package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.PlatformBounds;

/** Evacuations that begin and end while VMs, links or the store fail. */
class EvacuationSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  /** Time within which an evacuation has to be in force, in milliseconds. */
  private static final long EVACUATION_MS = 5_000;

  private static final PlatformBounds BOUNDS =
      new PlatformBounds(4_000, 5_000, 4_000, 1_200, 8_000, 0.2, 230, 10_000);

  private final FleetSimulation fleet = FleetSimulation.fleet(3, BOUNDS, 24, 3);

  @BeforeEach
  void settle() {
    fleet.advance(12_000);
  }

  private void assertEvacuated(boolean expected) {
    fleet.vms.values().forEach(vm -> assertEvacuated(vm, expected));
  }

  private static void assertEvacuated(FleetSimulation.Vm vm, boolean expected) {
    assertWithMessage(vm.address)
        .that(vm.follower.evacuatedZones().contains("zone-1"))
        .isEqualTo(expected);
  }

  private void evacuate(boolean requested) {
    fleet.store.evacuate("zone-1", requested);
  }

  @Test
  void reachesAllVmsSoonWithoutFurtherCalls() {
    final long before = fleet.store.calls;
    fleet.advance(5_000);
    final long calm = fleet.store.calls - before;
    evacuate(true);
    fleet.advance(1_000);
    assertEvacuated(true);
    evacuate(false);
    fleet.advance(1_000);
    assertEvacuated(false);
    fleet.advance(3_000);
    assertThat(fleet.store.calls - before - calm).isAtMost(calm + 4 * 3);
  }

  @Nested
  class Store {

    @Test
    void thatIsDownLetsTheLastStateHold() {
      evacuate(true);
      fleet.advance(2_000);
      fleet.store.down = true;
      fleet.advance(30_000);
      assertEvacuated(true);
    }

    @Test
    void thatIsDownWhenAnotherVmStartsLetsItServeOnlyWithTheEvacuation() {
      evacuate(true);
      fleet.advance(2_000);
      fleet.store.down = true;
      fleet.advance(500);
      FleetSimulation.Vm late = fleet.start("vm-late", "zone-0", List.of("vm-000", "vm-001"));
      fleet.advance(
          10_000,
          () -> {
            if (late.follower.table().isPresent() && late.follower.evacuatedZones().isKnown()) {
              assertEvacuated(late, true);
            }
          });
      assertEvacuated(late, true);
      evacuate(false);
      fleet.store.down = false;
      fleet.advance(EVACUATION_MS);
      assertEvacuated(late, false);
    }

    @Test
    void thatForgotItsHistoryWhileTheEvacuationEndedIsReadAgain() {
      evacuate(true);
      fleet.advance(2_000);
      fleet.store.down = true;
      evacuate(false);
      fleet.advance(25_000);
      assertEvacuated(true);
      fleet.store.down = false;
      fleet.advance(EVACUATION_MS);
      assertEvacuated(false);
    }
  }

  @Nested
  class Vms {

    @Test
    void thatAreCutFromTheStoreLearnItFromOthers() {
      List<FleetSimulation.Vm> readers =
          fleet.vms.values().stream().filter(vm -> vm.sharing.isReading()).toList();
      readers.forEach(vm -> fleet.cut(vm.address, SimulatedStore.NAME));
      evacuate(true);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(true);
      evacuate(false);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(false);
    }

    @Test
    void thatArePausedAcrossTheChangeLearnItAfterwards() {
      fleet.vms.values().forEach(vm -> vm.pause(3_000, false));
      evacuate(true);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(true);
    }

    @Test
    void followTwoChangesInQuickSuccession() {
      for (int i = 0; i < 10; i++) {
        evacuate(true);
        fleet.advance(40);
        evacuate(false);
        fleet.advance(40);
      }
      evacuate(true);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(true);
    }

    @Test
    void ofTheReleaseBeforeLeaveOthersToReadThemselves() {
      fleet.sharesEvacuations = address -> address.compareTo("vm-012") > 0;
      fleet.advance(2_000);
      evacuate(true);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(true);
      evacuate(false);
      fleet.advance(EVACUATION_MS);
      assertEvacuated(false);
    }
  }
}
