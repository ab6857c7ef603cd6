package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.PlatformBounds;

class CatalogSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  /** Number of seeds of the fuzz test; 10,000 are run by hand. */
  private static final int SEEDS = Integer.getInteger("fleet.seeds", 40);

  /** First seed of the fuzz test. */
  private static final int FIRST_SEED = Integer.getInteger("fleet.firstSeed", 1);

  /** A tick of the simulation, by which a version may be replaced unseen, in milliseconds. */
  private static final long TOLERANCE_MS = 20;

  private static final PlatformBounds SMALL = PlatformBounds.DEFAULT;
  private static final PlatformBounds LARGE =
      new PlatformBounds(4_000, 5_000, 4_000, 1_200, 8_000, 0.2, 230, 10_000);

  private static FleetSimulation settledFleet(PlatformBounds bounds, int vms, int zones) {
    FleetSimulation fleet = FleetSimulation.fleet(3, bounds, vms, zones);
    fleet.store.put(FleetSimulation.endpoint("e-1", "zone-0", false));
    fleet.advance(12_000);
    return fleet;
  }

  @Nested
  class CalmDay {

    @Test
    void readsThePlatformThroughFewVms() {
      FleetSimulation fleet = settledFleet(LARGE, 95, 6);
      final long before = fleet.store.calls;
      fleet.advance(20_000);
      double callsPerSecond = (fleet.store.calls - before) / 20.0;
      assertThat(callsPerSecond).isAtMost(3 * 6 + 0.05 * 95);
      fleet.vms.values().forEach(vm -> assertThat(vm.freshness.isFresh()).isTrue());
    }

    @Test
    void putsNewVersionsInForceEverywhere() {
      FleetSimulation fleet = settledFleet(LARGE, 95, 6);
      final long before = fleet.store.calls;
      fleet.store.publish();
      fleet.advance(LARGE.configMs());
      fleet.vms.values().forEach(vm -> assertThat(vm.version()).isEqualTo(2));
      assertThat(fleet.store.calls - before).isAtMost(4 * (3 * 6 + 5));
    }

    @Test
    void tellsAllVmsOfDrainingEndpoints() {
      FleetSimulation fleet = settledFleet(LARGE, 30, 3);
      fleet.store.put(FleetSimulation.endpoint("e-1", "zone-0", true));
      fleet.advance(LARGE.drainMs());
      fleet.vms.values().forEach(vm -> assertThat(vm.directory.ready("service")).isEmpty());
    }
  }

  @Nested
  class RestoredStore {

    private final FleetSimulation fleet = settledFleet(SMALL, 12, 2);

    @Test
    void listsOfAllVmsFollowItAlthoughItsRevisionsWentBack() {
      final long copy = fleet.store.revision();
      for (int i = 0; i < 40; i++) {
        fleet.store.put(FleetSimulation.endpoint("lost-" + i, "zone-0", false));
      }
      fleet.advance(3_000);
      fleet.store.restore(copy);
      fleet.store.put(FleetSimulation.endpoint("e-2", "zone-0", false));
      fleet.advance(6_000);
      for (FleetSimulation.Vm vm : fleet.vms.values()) {
        assertWithMessage(vm.address).that(vm.directory.contains("e-2")).isTrue();
        assertWithMessage(vm.address).that(vm.directory.contains("lost-1")).isFalse();
      }
    }
  }

  @Nested
  class LossOfTheReader {

    private final FleetSimulation fleet = settledFleet(SMALL, 24, 3);

    private List<FleetSimulation.Vm> readers() {
      return fleet.vms.values().stream().filter(vm -> vm.sharing.isReading()).toList();
    }

    private void assertAllFreshFor(long ms) {
      fleet.advance(
          ms,
          () ->
              fleet.vms.values().stream()
                  .filter(vm -> !vm.isPaused())
                  .forEach(
                      vm -> assertWithMessage(vm.address).that(vm.freshness.isFresh()).isTrue()));
    }

    @Test
    void isBridgedWhenItIsKilled() {
      readers().forEach(reader -> fleet.kill(reader.address));
      assertAllFreshFor(10_000);
    }

    @Test
    void isBridgedWhenThePlatformTurnsItAway() {
      readers().forEach(reader -> fleet.store.refused.add(reader.address));
      assertAllFreshFor(10_000);
    }

    @Test
    void isBridgedWhenItIsPaused() {
      readers().forEach(reader -> reader.pause(6_000, true));
      assertAllFreshFor(5_900);
    }

    @Test
    void delaysNewVersionsNoLongerThanAllowed() {
      List<FleetSimulation.Vm> cutOff = readers();
      cutOff.forEach(reader -> fleet.cut(reader.address, SimulatedStore.NAME));
      fleet.store.publish();
      fleet.advance(SMALL.configMs());
      fleet.vms.values().stream()
          .filter(vm -> !cutOff.contains(vm))
          .forEach(vm -> assertWithMessage(vm.address).that(vm.version()).isEqualTo(2));
    }
  }

  @Nested
  class OutageOfThePlatform {

    @Test
    void isMetWithFewCalls() {
      FleetSimulation fleet = settledFleet(LARGE, 95, 6);
      final long before = fleet.store.calls;
      fleet.store.down = true;
      fleet.advance(4_500);
      fleet.store.down = false;
      assertThat(fleet.store.calls - before).isAtMost(1_000);
      fleet.advance(1_500);
      fleet.vms.values().forEach(vm -> assertThat(vm.freshness.isFresh()).isTrue());
    }
  }

  /**
   * Random faults: at no time does a VM accept keys under a version that was replaced longer ago
   * than allowed, or take a confirmation for younger than it is, no version goes back, and once all
   * is calm each VM has the newest version.
   */
  @Nested
  class RandomFaults {

    @Test
    void neverMakeConfirmationsLookYounger() {
      for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
        run(seed);
      }
    }

    /** A VM that restarts has a new process, whose versions start anew. */
    private void forget(long[] versions, FleetSimulation.Vm vm) {
      versions[index(vm)] = -1;
    }

    private void run(int seed) {
      Random random = new Random(seed);
      PlatformBounds bounds = random.nextBoolean() ? SMALL : LARGE;
      FleetSimulation fleet =
          FleetSimulation.fleet(seed, bounds, 4 + random.nextInt(14), 1 + random.nextInt(3));
      fleet.store.put(FleetSimulation.endpoint("e-1", "zone-0", false));
      fleet.lossRate = random.nextInt(3) == 0 ? 0.03 : 0;
      long[] versions = new long[1_000];
      Arrays.fill(versions, -1);
      for (int step = 0; step < 25; step++) {
        fault(fleet, random, versions);
        fleet.advance(200 + random.nextInt(1_500), () -> check(fleet, versions, seed));
      }
      fleet.healLinks();
      fleet.lossRate = 0;
      fleet.store.down = false;
      fleet.store.refused.clear();
      fleet.advance(10_000, () -> check(fleet, versions, seed));
      for (FleetSimulation.Vm vm : fleet.vms.values()) {
        assertWithMessage("seed %s, %s", seed, vm.address)
            .that(vm.version())
            .isEqualTo(fleet.store.version());
        assertWithMessage("seed %s, %s", seed, vm.address).that(vm.freshness.isFresh()).isTrue();
        assertWithMessage("seed %s, %s", seed, vm.address)
            .that(vm.directory.contains("e-1"))
            .isTrue();
      }
    }

    private void check(FleetSimulation fleet, long[] versions, int seed) {
      for (FleetSimulation.Vm vm : fleet.vms.values()) {
        if (vm.isPaused()) {
          continue;
        }
        assertWithMessage("seed %s, version of %s", seed, vm.address)
            .that(vm.version())
            .isAtLeast(versions[index(vm)]);
        versions[index(vm)] = vm.version();
        if (vm.freshness.isFresh()) {
          long replacedAgoMs = fleet.nowMs - fleet.store.supersededMs(vm.version());
          assertWithMessage(
                  "seed %s at %s: %s serves a version replaced", seed, fleet.nowMs, vm.address)
              .that(replacedAgoMs)
              .isAtMost(fleet.bounds.revokeMs());
          assertWithMessage(
                  "seed %s at %s: age of the confirmation of %s", seed, fleet.nowMs, vm.address)
              .that(vm.freshness.ageMs())
              .isAtLeast(replacedAgoMs - TOLERANCE_MS);
        }
      }
    }

    private void fault(FleetSimulation fleet, Random random, long[] versions) {
      List<FleetSimulation.Vm> all = List.copyOf(fleet.vms.values());
      FleetSimulation.Vm vm = all.get(random.nextInt(all.size()));
      FleetSimulation.Vm other = all.get(random.nextInt(all.size()));
      switch (random.nextInt(13)) {
        case 0, 1, 2 -> fleet.store.publish();
        case 3 -> vm.pause(300 + random.nextInt(8_000), random.nextBoolean());
        case 4 -> vm.stepMs = random.nextInt(8_000) - 4_000;
        case 5 -> fleet.cut(vm.address, other.address);
        case 6 -> fleet.cut(vm.address, SimulatedStore.NAME);
        case 7 -> fleet.store.down = !fleet.store.down;
        case 8 -> fleet.store.refused.add(vm.address);
        case 9 -> fleet.store.refused.clear();
        case 10 -> fleet.healLinks();
        case 11 -> {
          if (!vm.isPaused()) {
            restart(fleet, vm);
            forget(versions, vm);
          }
        }
        default -> fleet.store.put(FleetSimulation.endpoint("e-2", "zone-0", random.nextBoolean()));
      }
    }

    private static int index(FleetSimulation.Vm vm) {
      return Integer.parseInt(vm.address.replaceAll("[^0-9]", ""));
    }

    private void restart(FleetSimulation fleet, FleetSimulation.Vm vm) {
      fleet.kill(vm.address);
      fleet.start(vm.address, vm.zone, List.of("vm-000", "vm-001", "vm-002"));
    }
  }

  @Nested
  class NewProcess {

    @Test
    void doesNotAdoptWhatAnotherVmCannotConfirm() {
      FleetSimulation fleet = settledFleet(SMALL, 4, 1);
      fleet.vms.keySet().forEach(vm -> fleet.cut(vm, SimulatedStore.NAME));
      fleet.store.publish();
      fleet.advance(6_000);
      fleet.start("vm-900", "zone-0", List.of("vm-000"));
      fleet.cut("vm-900", SimulatedStore.NAME);
      fleet.advance(4_000);
      assertThat(fleet.vms.get("vm-900").version()).isEqualTo(-1);
    }
  }
}
