package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.ColdAllowance;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.TrackedEndpoint;

/** VMs that learn from each other and from the store that endpoints are cold. */
class ColdFleetTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int ZONES = 3;
  private static final long COLD_MS = 3_000;
  private static final double PER_SECOND = 8.5;

  /** Requests a second that all VMs together send to a warm endpoint. */
  private static final double WARM_PER_SECOND = 30;

  /** Requests a second that each VM would like to send to a cold endpoint. */
  private static final double DEMAND_PER_SECOND = 3;

  private static final ColdAllowance ALLOWANCE = new ColdAllowance(1.5, 5);
  private static final int BOUND = (int) (PER_SECOND * 1.5 + 5);

  private static final PlatformBounds BOUNDS =
      new PlatformBounds(4_000, 5_000, 4_000, 1_200, 8_000, 0.2, 188, 10_000, ALLOWANCE);

  private final Random random = new Random(29);
  private final Map<String, Long> coldUntilMs = new HashMap<>();
  private final Map<String, Deque<Long>> windows = new HashMap<>();
  private FleetSimulation fleet;
  private int most;
  private int sentWhileCold;

  private void start(int vms, int endpoints) {
    fleet = FleetSimulation.fleet(17, BOUNDS, vms, ZONES);
    fleet.cold = ColdSpec.of(COLD_MS / 1_000.0, PER_SECOND);
    for (int i = 0; i < endpoints; i++) {
      fleet.store.put(FleetSimulation.endpoint("engine-" + i, "zone-0", false));
    }
    fleet.advance(7_000);
  }

  private FleetSimulation.Vm vm(int number) {
    return fleet.vms.get(String.format("vm-%03d", number));
  }

  private static ListedEndpoint entry(int number, long startedAtMs, long coldMs) {
    return new ListedEndpoint(
        "engine-" + number,
        "service",
        "10.0.0.1:80",
        "zone-0",
        "v1",
        16,
        false,
        startedAtMs,
        Optional.of(coldMs));
  }

  /** Makes an endpoint cold, which writes its entry, and again at each heartbeat. */
  private void turnCold(int number, long startedAtMs, long coldMs) {
    coldUntilMs.put("engine-" + number, fleet.nowMs + coldMs);
    for (long atMs = 0; atMs < coldMs + 1_200; atMs += 1_200) {
      ListedEndpoint written = entry(number, startedAtMs, Math.max(0, coldMs - atMs));
      fleet.at(atMs, () -> fleet.store.put(written));
    }
  }

  /** Lets the VMs send for a time, and records the most requests in a second at a cold endpoint. */
  private void sendFor(long ms) {
    fleet.advance(ms, this::sendOnce);
  }

  private void sendOnce() {
    for (FleetSimulation.Vm vm : List.copyOf(fleet.vms.values())) {
      if (!vm.isPaused()) {
        vm.directory.ready("service").forEach(endpoint -> maySend(vm, endpoint));
      }
    }
  }

  private void maySend(FleetSimulation.Vm vm, TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    boolean knownCold = vm.endpoints.limits().applyTo(listed);
    double perSecond = knownCold ? DEMAND_PER_SECOND : WARM_PER_SECOND / fleet.vms.size();
    if (random.nextDouble() >= perSecond * 0.02 || !vm.endpoints.limits().admits(endpoint)) {
      return;
    }
    vm.endpoints.limits().onSent(listed);
    boolean cold = coldUntilMs.getOrDefault(listed.id(), 0L) > fleet.nowMs;
    if (cold) {
      Deque<Long> window = windows.computeIfAbsent(listed.id(), id -> new ArrayDeque<>());
      window.addLast(fleet.nowMs);
      while (fleet.nowMs - window.peekFirst() >= 1_000) {
        window.pollFirst();
      }
      most = Math.max(most, window.size());
      sentWhileCold++;
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 91, 371})
  void keepsToTheBoundAndUsesHalfOfTheRateAfterStarts(int vms) {
    start(vms, 1);
    sendFor(2_000);
    turnCold(0, fleet.nowMs, COLD_MS);
    sendFor(COLD_MS + 2_000);
    assertThat(most).isAtMost(BOUND);
    assertThat(sentWhileCold).isAtLeast((int) (0.5 * PER_SECOND * COLD_MS / 1_000));
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 91})
  void keepsToTheBoundIfEndpointsTurnColdAgain(int vms) {
    start(vms, 3);
    sendFor(1_000);
    for (int i = 0; i < 3; i++) {
      for (int number = 0; number < 3; number++) {
        turnCold(number, 1, 2_000);
      }
      sendFor(5_000);
    }
    assertThat(most).isAtMost(BOUND);
    assertThat(sentWhileCold).isAtLeast((int) (0.5 * PER_SECOND * 2 * 9));
  }

  @Test
  void keepsToTheBoundIfZonesComeBackAtOnce() {
    start(91, 12);
    for (int i = 0; i < 12; i++) {
      fleet.store.remove("engine-" + i);
    }
    sendFor(5_000);
    for (int i = 0; i < 12; i++) {
      turnCold(i, fleet.nowMs, COLD_MS);
    }
    sendFor(COLD_MS + 2_000);
    assertThat(most).isAtMost(BOUND);
    assertThat(sentWhileCold).isAtLeast((int) (12 * 0.5 * PER_SECOND * COLD_MS / 1_000));
  }

  /** What goes wrong at the moment at which an endpoint turns cold. */
  @Nested
  class Failures {

    private void cutFromOthers(int number) {
      fleet.vms.keySet().forEach(other -> fleet.cut(vm(number).address, other));
    }

    private void turnColdAndSend() {
      turnCold(0, 1, COLD_MS);
      sendFor(COLD_MS + 2_000);
      assertThat(most).isAtMost(BOUND);
      assertThat(sentWhileCold).isAtLeast((int) (0.4 * PER_SECOND * COLD_MS / 1_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 91})
    void vmIsCutOffFromTheStore(int vms) {
      start(vms, 1);
      fleet.cut(vm(1).address, SimulatedStore.NAME);
      sendFor(3_000);
      turnColdAndSend();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 91})
    void vmIsCutOffFromTheOthers(int vms) {
      start(vms, 1);
      cutFromOthers(1);
      sendFor(12_000);
      turnColdAndSend();
    }

    @ParameterizedTest
    @ValueSource(ints = {91, 371})
    void vmsAreCutOffFromTheOthersAndFromTheStore(int vms) {
      start(vms, 1);
      for (int number = 1; number <= 3; number++) {
        cutFromOthers(number);
        fleet.cut(vm(number).address, SimulatedStore.NAME);
      }
      sendFor(12_000);
      turnColdAndSend();
    }

    @Test
    void vmSleepsThroughTheChange() {
      start(91, 1);
      for (int number = 0; number < 5; number++) {
        vm(number).pause(3_000, number % 2 == 0);
      }
      sendFor(1_500);
      turnColdAndSend();
    }

    @Test
    void clocksStep() {
      start(91, 1);
      for (int number = 0; number < 20; number++) {
        vm(number).stepMs = (number - 10) * 700L;
      }
      turnColdAndSend();
    }

    @Test
    void allVmsHaveJustStarted() {
      start(91, 1);
      turnCold(0, 1, 12_000);
      for (String address : List.copyOf(fleet.vms.keySet())) {
        String zone = fleet.vms.get(address).zone;
        fleet.kill(address);
        fleet.start(address, zone, List.of("vm-000", "vm-001", "vm-002"));
      }
      sendFor(12_000);
      assertThat(most).isAtMost(BOUND);
      assertThat(sentWhileCold).isAtLeast((int) (0.5 * PER_SECOND * 6));
    }

    @Test
    void halfOfTheVmsAreReplacedWhileItIsCold() {
      start(91, 1);
      turnCold(0, 1, 12_000);
      sendFor(1_000);
      List<String> replaced = new ArrayList<>(fleet.vms.keySet()).subList(10, 55);
      for (String address : replaced) {
        String zone = fleet.vms.get(address).zone;
        fleet.kill(address);
        fleet.start("new-" + address, zone, List.of("vm-000", "vm-001", "vm-002"));
      }
      sendFor(11_000);
      assertThat(most).isAtMost(BOUND);
    }
  }

  /** VMs of the release before send as to a warm endpoint; only the others are counted. */
  @Test
  void keepsNewVmsToTheBoundBesideThoseOfTheReleaseBefore() {
    fleet = FleetSimulation.fleet(17, BOUNDS, 91, ZONES, address -> address.hashCode() % 2 == 0);
    fleet.cold = ColdSpec.of(COLD_MS / 1_000.0, PER_SECOND);
    fleet.store.put(FleetSimulation.endpoint("engine-0", "zone-0", false));
    fleet.advance(7_000);
    turnCold(0, fleet.nowMs, COLD_MS);
    fleet.advance(
        COLD_MS + 2_000,
        () ->
            fleet.vms.values().stream()
                .filter(vm -> fleet.assignsSlots.test(vm.address))
                .forEach(vm -> vm.directory.ready("service").forEach(e -> maySend(vm, e))));
    assertThat(most).isAtMost(BOUND);
    assertThat(sentWhileCold).isAtLeast(1);
  }

  @Test
  void isLearntByAllVmsFromTheOneThatHearsIt() {
    start(91, 1);
    fleet.advance(1_000);
    turnCold(0, 1, COLD_MS);
    fleet.advance(1_000);
    for (FleetSimulation.Vm vm : fleet.vms.values()) {
      TrackedEndpoint endpoint = vm.directory.endpoint("engine-0").orElseThrow();
      assertWithMessage(vm.address).that(vm.endpoints.limits().applyTo(endpoint.listed())).isTrue();
    }
  }
}
