package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.SendLimits;
import org.zinniaspan.forwarding.TrackedEndpoint;

/** VMs hold no more slots of an endpoint than it has, whoever assigns them. */
class SlotSharingTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final PlatformBounds BOUNDS =
      new PlatformBounds(4_000, 5_000, 4_000, 1_200, 8_000, 0.2, 188, 10_000);

  private static final int SLOTS = 4;
  private static final long WORK_MS = 200;

  private FleetSimulation fleet;
  private final Map<String, Integer> inProgress = new HashMap<>();
  private final Map<FleetSimulation.Vm, List<Object>> waiting = new HashMap<>();
  private int started;
  private int most;
  private boolean demanding = true;
  private boolean restricted;

  @BeforeEach
  void start() {
    fleet = FleetSimulation.fleet(3, BOUNDS, 12, 3);
    for (int number = 0; number < 6; number++) {
      fleet.store.put(
          new ListedEndpoint(
              "e" + number, "service", "10.0.0.1:80", "zone-" + number % 3, "v1", SLOTS, false, 1));
    }
    fleet.advance(12_000);
    stateLimit(Optional.of(1));
    fleet.advance(3_000);
  }

  private void stateLimit(Optional<Integer> limit) {
    FleetSimulation.Vm vm = fleet.vms.get("vm-000");
    vm.directory.entries().forEach(e -> limits(vm).onResponse(e, Optional.empty(), limit));
  }

  private static SendLimits limits(FleetSimulation.Vm vm) {
    return vm.endpoints.limits();
  }

  /** Lets each VM have three requests at any time, each of which waits or is in progress. */
  private void advance(long ms) {
    fleet.advance(ms, () -> fleet.vms.values().forEach(this::demand));
  }

  private void demand(FleetSimulation.Vm vm) {
    if (vm.isPaused() || (restricted && !vm.zone.equals("zone-0"))) {
      return;
    }
    List<Object> requests = waiting.computeIfAbsent(vm, key -> new ArrayList<>());
    while (demanding && requests.size() < 3) {
      requests.add(new Object());
    }
    for (Object request : List.copyOf(requests)) {
      Optional<TrackedEndpoint> free =
          vm.directory.ready("service").stream()
              .filter(e -> limits(vm).slots().areRequired(e.listed()))
              .filter(e -> limits(vm).admits(e))
              .filter(e -> !restricted || !isInZone0(e.listed()))
              .findFirst();
      if (free.isEmpty()) {
        limits(vm).slots().onWaiting(request, "service", 0);
      } else {
        requests.remove(request);
        send(vm, free.get());
      }
    }
  }

  private void send(FleetSimulation.Vm vm, TrackedEndpoint endpoint) {
    limits(vm).onSent(endpoint.listed());
    endpoint.onSent(0, vm.steadyMs());
    started++;
    String id = endpoint.listed().id();
    most = Math.max(most, inProgress.merge(id, 1, Integer::sum));
    fleet.at(
        WORK_MS,
        () -> {
          inProgress.merge(id, -1, Integer::sum);
          endpoint.onEnded();
        });
  }

  private long assigners() {
    return fleet.vms.values().stream()
        .filter(vm -> vm.slots.orElseThrow().assigner().assigns("service"))
        .count();
  }

  @Test
  void usesMostSlotsAndNoMore() {
    advance(4_000);
    assertThat(most).isEqualTo(SLOTS);
    double possible = 6.0 * SLOTS * 4_000 / WORK_MS;
    assertThat((double) started).isAtLeast(0.7 * possible);
    assertThat(assigners()).isEqualTo(3);
  }

  @Test
  void leavesSlotsOfOtherZonesToTheirVms() {
    advance(1_000);
    fleet.vms.values().stream()
        .filter(vm -> !vm.zone.equals("zone-0"))
        .forEach(
            vm ->
                fleet.vms.values().stream()
                    .filter(other -> other.zone.equals("zone-0"))
                    .forEach(other -> fleet.cut(vm.address, other.address)));
    advance(12_000);
    assertThat(most).isAtMost(SLOTS);
    started = 0;
    advance(4_000);
    assertThat((double) started).isAtLeast(0.6 * 6 * SLOTS * 4_000 / WORK_MS);
  }

  @Test
  void asksInOtherZonesIfVmsCannotUseTheEndpointsOfTheirOwn() {
    restricted = true;
    fleet.vms.values().forEach(vm -> vm.slots.orElseThrow().useOnly(e -> !isInZone0(e)));
    advance(4_000);
    // Each of the 4 VMs may have three requests, of which each takes a little more than its work.
    assertThat((double) started).isAtLeast(0.7 * 4 * 3 * 4_000 / WORK_MS);
    assertThat(inProgress.keySet()).containsNoneOf("e0", "e3");
  }

  private static boolean isInZone0(ListedEndpoint endpoint) {
    return endpoint.zone().equals("zone-0");
  }

  @Test
  void endsWithTheLimit() {
    advance(1_000);
    stateLimit(Optional.empty());
    fleet.advance(2_000);
    for (FleetSimulation.Vm vm : fleet.vms.values()) {
      for (ListedEndpoint endpoint : vm.directory.entries()) {
        assertThat(limits(vm).slots().areRequired(endpoint)).isFalse();
      }
    }
    assertThat(assigners()).isEqualTo(0);
  }

  @Test
  void givesBackSlotsThatAreNotUsed() {
    advance(1_000);
    demanding = false;
    waiting.clear();
    fleet.advance(1_000);
    demanding = true;
    most = 0;
    advance(1_000);
    assertThat(most).isEqualTo(SLOTS);
  }

  @Test
  void doesNotUseSlotsOfRepliesFromBeforePause() {
    advance(1_000);
    List<FleetSimulation.Vm> others =
        fleet.vms.values().stream()
            .filter(vm -> !vm.slots.orElseThrow().assigner().assigns("service"))
            .toList();
    // Longer than silent VMs keep their slots, so that these are assigned to others meanwhile.
    others.forEach(vm -> vm.pause(6_000, true));
    advance(10_000);
    assertThat(most).isAtMost(SLOTS);
  }

  @Nested
  class LostAssigner {

    private List<FleetSimulation.Vm> currentAssigners() {
      return fleet.vms.values().stream()
          .filter(vm -> vm.slots.orElseThrow().assigner().assigns("service"))
          .collect(Collectors.toList());
    }

    private void assertServes() {
      started = 0;
      advance(4_000);
      assertWithMessage("started").that(started).isAtLeast(200);
      assertWithMessage("most in progress").that(most).isAtMost(SLOTS);
      assertWithMessage("assigners").that(assigners()).isEqualTo(3);
    }

    @Test
    void isReplacedWhenItsProcessHasEnded() {
      advance(1_000);
      currentAssigners().forEach(vm -> fleet.kill(vm.address));
      advance(3_000);
      assertServes();
    }

    @Test
    void isReplacedWhileItIsPausedAndTakesOverAgain() {
      advance(1_000);
      currentAssigners().forEach(vm -> vm.pause(4_000, false));
      advance(3_000);
      assertWithMessage("most in progress").that(most).isAtMost(SLOTS);
      advance(5_000);
      assertServes();
    }

    @Test
    void isReplacedWhileItIsSuspendedAndTakesOverAgain() {
      advance(1_000);
      currentAssigners().forEach(vm -> vm.pause(4_000, true));
      advance(8_000);
      assertServes();
    }

    @Test
    void isReplacedWhileItLeaves() {
      advance(1_000);
      currentAssigners().forEach(vm -> vm.members.leave());
      advance(3_000);
      assertServes();
    }

    @Test
    void yieldsToVmThatStarts() {
      advance(1_000);
      for (int number = 0; number < 6; number++) {
        fleet.start("new-" + number, "zone-" + number % 3, List.of("vm-000", "vm-001", "vm-002"));
        advance(1_000);
      }
      advance(4_000);
      assertServes();
    }
  }
}
