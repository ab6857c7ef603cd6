package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.StreamWork;

class EngineSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int ZONES = 3;
  private static final int ENGINES = 18;

  /** Age from which a report is stale and no longer used, in milliseconds. */
  private static final long STALE_MS = 2_000;

  /** Polls per second of a loaded engine that one VM makes, with a fifth for changes of the VM. */
  private static final double MAX_POLLS_PER_SECOND = 1.2 / 0.35;

  private final FleetSimulation fleet = FleetSimulation.fleet(5, PlatformBounds.DEFAULT, 24, ZONES);

  EngineSharingTest() {
    for (int i = 0; i < ENGINES; i++) {
      fleet.store.put(FleetSimulation.endpoint("engine-" + i, "zone-" + i % ZONES, false));
    }
    fleet.advance(12_000);
  }

  private long polls() {
    return fleet.vms.values().stream().mapToLong(vm -> vm.polls).sum();
  }

  /** Advances the time and checks the age of each engine's report at each VM. */
  private void assertReportsNoOlderThan(long ageMs, long forMs) {
    fleet.advance(
        forMs,
        () ->
            fleet
                .vms
                .values()
                .forEach(
                    vm -> {
                      for (int i = 0; i < ENGINES; i++) {
                        assertWithMessage("engine-%s at %s", i, vm.address)
                            .that(vm.reportAgeMs("engine-" + i))
                            .isAtMost(ageMs);
                      }
                    }));
  }

  @Test
  void pollsEachEngineFromOneVm() {
    long before = polls();
    fleet.advance(10_000);
    double pollsPerEngineAndSecond = (polls() - before) / 10.0 / ENGINES;
    assertThat(pollsPerEngineAndSecond).isAtMost(MAX_POLLS_PER_SECOND);
  }

  @Test
  void bringsTheReportsOfAllZonesToAllVms() {
    assertReportsNoOlderThan(STALE_MS, 10_000);
  }

  @Test
  void givesAllVmsTheSameSharesOfWork() {
    for (int i = 0; i < 50; i++) {
      fleet.vms.get("vm-00" + i % 8).work.add("service", i % 5 == 0, 100);
      fleet.advance(100);
    }
    fleet.advance(1_200);
    fleet
        .vms
        .values()
        .forEach(
            vm -> {
              StreamWork.Shares shares = vm.work.of("service");
              assertWithMessage(vm.address)
                  .that(shares.tolerant() / (shares.tolerant() + shares.strict()))
                  .isWithin(0.05)
                  .of(0.2);
            });
  }

  @Test
  void replacesAnObserverThatIsKilled() {
    List.copyOf(fleet.vms.values()).stream()
        .filter(vm -> vm.engines.isObserver())
        .forEach(vm -> fleet.kill(vm.address));
    fleet.advance(1_500);
    assertReportsNoOlderThan(3_000, 8_000);
  }

  @Test
  void replacesAnObserverThatIsPaused() {
    fleet.vms.values().stream()
        .filter(vm -> vm.engines.isObserver())
        .toList()
        .forEach(vm -> vm.pause(20_000, false));
    fleet.advance(3_500);
    fleet.vms.values().removeIf(FleetSimulation.Vm::isPaused);
    assertReportsNoOlderThan(3_000, 8_000);
  }
}
