package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Endpoints of a large fleet must not fail from rejections while all kinds of requests increase at
 * once, whatever rejection limit they state.
 */
@Execution(ExecutionMode.CONCURRENT)
class RejectionLimitLargeFleetTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  /** Time from the first statement until endpoints let fewer requests wait. */
  private static final long CONTACT_MS = 4_000;

  private static final long OVERLOAD_MS = 16_000;
  private static final int VMS = 74;
  private static final int MODEL_ENDPOINTS = 112;
  private static final int PLAIN_ENDPOINTS = 6;

  private OverloadedFleet world;

  private void start(long seed, int vms, int limit, List<OverloadedFleet.Kind> kinds) {
    start(seed, vms, limit, kinds, address -> true);
  }

  private void start(
      long seed,
      int vms,
      int limit,
      List<OverloadedFleet.Kind> kinds,
      Predicate<String> ofThisRelease) {
    world = new OverloadedFleet(seed, vms, MODEL_ENDPOINTS, PLAIN_ENDPOINTS, kinds, ofThisRelease);
    world.advance(4_000);
    for (String service : List.of(OverloadedFleet.MODEL, OverloadedFleet.PLAIN)) {
      world.state(service, Optional.of(limit));
    }
    world.advance(CONTACT_MS);
    world.shortenQueues(OverloadedFleet.MODEL);
    world.shortenQueues(OverloadedFleet.PLAIN);
    world.resetTallies();
  }

  private void overload(double factor) {
    world.burstAll(factor);
    world.advance(OVERLOAD_MS);
  }

  private void assertFewFailures() {
    for (String service : List.of(OverloadedFleet.MODEL, OverloadedFleet.PLAIN)) {
      int allowed = 2 + world.of(service).size() / 10;
      assertWithMessage(service + " of: " + world.summary())
          .that(world.failures(service))
          .isAtMost(allowed);
    }
  }

  private void assertServed(double minModelShare, double minPlainShare) {
    assertWithMessage("model of: " + world.summary())
        .that(world.servedShare(OverloadedFleet.MODEL))
        .isAtLeast(minModelShare);
    assertWithMessage("plain of: " + world.summary())
        .that(world.servedShare(OverloadedFleet.PLAIN))
        .isAtLeast(minPlainShare);
  }

  @ParameterizedTest
  @CsvSource({"11, 1, 2.6", "14, 5, 2.6", "15, 2, 4.0"})
  void keepsEndpointsUpWhileAllKindsIncrease(long seed, int limit, double factor) {
    start(seed, VMS, limit, OverloadedFleet.KINDS);
    overload(factor);
    assertFewFailures();
    assertServed(Math.min(0.9, 1.3 / factor), Math.min(0.9, 1.3 / factor));
  }

  @Test
  void servesShortCallsWhileAllKindsIncrease() {
    start(21, VMS, 1, OverloadedFleet.SHORT_CALL_KINDS);
    overload(2.6);
    assertFewFailures();
    assertServed(0.5, 0.9);
  }

  @Test
  void servesAlmostAllAtTheUsualLoad() {
    start(22, VMS, 1, OverloadedFleet.KINDS);
    overload(1);
    assertFewFailures();
    assertServed(0.95, 0.95);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 371})
  void keepsEndpointsUpAtOtherNumbersOfVms(int vms) {
    start(23, vms, 1, OverloadedFleet.KINDS);
    world.burstAll(2.6);
    world.advance(8_000);
    assertFewFailures();
    assertServed(0.5, 0.5);
  }

  @Nested
  class DisturbedVms {

    @Test
    void keepEndpointsUpAfterManyPause() {
      start(31, VMS, 1, OverloadedFleet.KINDS);
      world.fleet.vms.values().stream().limit(25).forEach(vm -> vm.pause(3_000, true));
      overload(2.6);
      assertFewFailures();
    }

    @Test
    void keepEndpointsUpWhileZoneIsCutOffFromOthers() {
      start(32, VMS, 1, OverloadedFleet.KINDS);
      for (FleetSimulation.Vm vm : world.fleet.vms.values()) {
        for (FleetSimulation.Vm other : world.fleet.vms.values()) {
          if (vm.zone.equals("zone-1") && !other.zone.equals("zone-1")) {
            world.fleet.cut(vm.address, other.address);
          }
        }
      }
      overload(2.6);
      assertFewFailures();
      assertServed(0.4, 0.4);
    }

    @Test
    void useSlotsInTheZoneOfVmsWithoutRequests() {
      start(33, VMS, 1, OverloadedFleet.KINDS);
      world.withoutLoad("zone-2");
      overload(2.6);
      assertFewFailures();
      assertServed(0.5, 0.5);
    }

    @Test
    void keepEndpointsUpWhileTheyAreReplaced() {
      start(34, VMS, 1, OverloadedFleet.KINDS);
      world.burstAll(2.6);
      for (int number = 0; number < 16; number++) {
        String address = String.format("vm-%03d", 3 + number);
        String zone = world.fleet.vms.get(address).zone;
        world.fleet.kill(address);
        world.fleet.start(address + "-new", zone, List.of("vm-000", "vm-001", "vm-002"));
        world.advance(1_000);
      }
      assertFewFailures();
    }
  }

  @Test
  void keepsEndpointsWithLimitOf1UpBesideHalfOfTheVmsOfThePreviousRelease() {
    start(
        41,
        VMS,
        1,
        OverloadedFleet.KINDS,
        address -> Integer.parseInt(address.substring(3)) % 10 >= 5);
    overload(2.6);
    assertFewFailures();
  }

  /** While VMs are replaced, some of the previous release send within their shares of a rate. */
  @ParameterizedTest
  @CsvSource({"43, 1, 1", "44, 5, 5"})
  void keepsEndpointsUpBesideVmsOfThePreviousRelease(long seed, int tenthsOfPrevious, int limit) {
    start(
        seed,
        VMS,
        limit,
        OverloadedFleet.KINDS,
        address -> Integer.parseInt(address.substring(3)) % 10 >= tenthsOfPrevious);
    overload(2.6);
    assertFewFailures();
  }
}
