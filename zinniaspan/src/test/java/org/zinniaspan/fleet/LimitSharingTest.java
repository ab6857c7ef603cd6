package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;

/** VMs tell each other how many requests a second endpoints take. */
class LimitSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int ZONES = 3;

  /** Time within which all VMs have to know of a statement, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  private static final long WINDOW_MS = 4_000;

  private final ListedEndpoint engine = FleetSimulation.endpoint("engine-0", "zone-0", false);
  private FleetSimulation fleet;

  private void start(int vms) {
    fleet = FleetSimulation.fleet(17, PlatformBounds.DEFAULT, vms, ZONES);
    fleet.store.put(engine);
    fleet.advance(12_000);
  }

  private FleetSimulation.Vm vm(int number) {
    return fleet.vms.get(String.format("vm-%03d", number));
  }

  private void state(int number, Optional<Double> perSecond) {
    vm(number).endpoints.limits().requests().onResponse(engine, perSecond);
  }

  private void assertLimits(int count) {
    fleet
        .vms
        .values()
        .forEach(
            vm ->
                assertWithMessage(vm.address)
                    .that(vm.endpoints.limits().requests().size())
                    .isEqualTo(count));
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 95, 371})
  void bringsTheBeginAndTheEndOfLimitsToAllVms(int vms) {
    start(vms);
    state(1, Optional.of(2.0));
    fleet.advance(CONTACT_MS);
    assertLimits(1);
    state(vms - 1, Optional.empty());
    fleet.advance(CONTACT_MS);
    assertLimits(0);
  }

  @Test
  void outlivesThePauseOfTheVmThatHeardIt() {
    start(9);
    state(4, Optional.of(2.0));
    fleet.advance(CONTACT_MS);
    vm(4).pause(5_000, true);
    fleet.advance(6_000);
    assertLimits(1);
  }

  @Test
  void endsIfNobodyHearsOfItAnyMore() {
    start(9);
    state(4, Optional.of(2.0));
    fleet.advance(CONTACT_MS + 62_000);
    assertLimits(0);
  }

  @Nested
  class Requests {

    /** Lets all VMs send whenever they may, and returns the most requests in a window. */
    private int most(long forMs, double perSecond) {
      java.util.ArrayDeque<Long> window = new java.util.ArrayDeque<>();
      int[] most = {0};
      fleet.advance(
          forMs,
          () ->
              fleet.vms.values().stream()
                  .filter(vm -> !vm.isPaused())
                  .filter(vm -> vm.endpoints.limits().requests().admits(engine))
                  .forEach(
                      vm -> {
                        vm.endpoints.limits().requests().onSent(engine);
                        vm.endpoints.limits().requests().onResponse(engine, Optional.of(perSecond));
                        window.addLast(fleet.nowMs);
                        while (fleet.nowMs - window.peekFirst() >= WINDOW_MS) {
                          window.pollFirst();
                        }
                        most[0] = Math.max(most[0], window.size());
                      }));
      return most[0];
    }

    private int allowed(double perSecond) {
      return (int) (1.5 * perSecond * WINDOW_MS / 1_000) + 5;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 95, 371})
    void stayWithinTheLimitOfAllVms(int vms) {
      start(vms);
      state(1, Optional.of(2.2));
      fleet.advance(CONTACT_MS);
      assertThat(most(15_000, 2.2)).isAtMost(allowed(2.2));
    }

    @Test
    void stayWithinTheLimitWhileZonesAreCutOff() {
      start(9);
      state(1, Optional.of(2.2));
      fleet.advance(CONTACT_MS);
      fleet.vms.values().stream()
          .filter(vm -> vm.zone.equals("zone-1"))
          .forEach(
              vm ->
                  fleet.vms.values().stream()
                      .filter(other -> !other.zone.equals("zone-1"))
                      .forEach(other -> fleet.cut(vm.address, other.address)));
      assertThat(most(30_000, 2.2)).isAtMost(allowed(2.2));
    }

    @Test
    void stayWithinTheLimitWhileVmsAreReplaced() {
      start(24);
      state(1, Optional.of(2.2));
      fleet.advance(CONTACT_MS);
      for (int i = 3; i < 9; i++) {
        fleet.kill(String.format("vm-%03d", i));
        assertThat(most(2_000, 2.2)).isAtMost(allowed(2.2));
        fleet.start(String.format("vm-%03d", i), "zone-" + i % ZONES, java.util.List.of("vm-000"));
        assertThat(most(4_000, 2.2)).isAtMost(allowed(2.2));
      }
    }
  }
}
