package org.zinniaspan.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.dispatch.DispatchFleet.TrackedRequest;
import org.zinniaspan.inventory.ServiceClass;

class DispatcherTest {

  private static final int VMS = 3;
  private static final ServiceClass TOP = DispatchFleet.CLASSES.get(0);
  private static final ServiceClass LOWEST = DispatchFleet.CLASSES.get(3);
  private static final int ALL_SLOTS = DispatchFleet.ENDPOINTS * DispatchFleet.SLOTS;
  private static final long MINUTE_MS = 60_000;

  /**
   * Returns the maximum time without a grant, in milliseconds, of a tier that has the given number
   * of higher tiers above it.
   */
  private static long starvationBoundMs(int higherTiers) {
    QueueLimits limits = QueueLimits.DEFAULT;
    long turnMs = limits.backloggedAfterMs() + TOP.firstTokenTargetMs();
    return limits.starvedAfterMs() + higherTiers * turnMs;
  }

  private final DispatchFleet fleet = new DispatchFleet(VMS, 11, QueueLimits.DEFAULT);
  private final Random random = new Random(12);

  /** Requests of one class and organisation that arrive at random times. */
  private record Flow(ServiceClass serviceClass, String organisation, double perSecond) {}

  private void load(long durationMs, Flow... flows) {
    for (long t = 0; t < durationMs; t += 10) {
      for (Flow flow : flows) {
        if (random.nextDouble() < flow.perSecond() / 100) {
          String vm = "vm-" + random.nextInt(VMS);
          fleet.submit(vm, flow.serviceClass(), flow.organisation(), false);
        }
      }
      fleet.advance(10);
    }
  }

  private List<TrackedRequest> requestsOf(ServiceClass serviceClass, String organisation) {
    return fleet.requests.stream()
        .filter(tracked -> tracked.request.serviceClass().equals(serviceClass))
        .filter(tracked -> tracked.request.organisation().equals(organisation))
        .toList();
  }

  private static double grantedFraction(List<TrackedRequest> requests) {
    return requests.stream().filter(TrackedRequest::isGranted).count() / (double) requests.size();
  }

  private static long longestGapMs(List<TrackedRequest> requests, long startMs) {
    List<Long> times = new ArrayList<>(List.of(startMs));
    requests.stream()
        .filter(TrackedRequest::isGranted)
        .map(one -> one.respondedMs)
        .sorted()
        .forEach(times::add);
    long longest = 0;
    for (int i = 1; i < times.size(); i++) {
      longest = Math.max(longest, times.get(i) - times.get(i - 1));
    }
    return times.size() == 1 ? Long.MAX_VALUE : longest;
  }

  private String owner() {
    return fleet.vms.get("vm-0").ownerOf("dispatch/" + DispatchFleet.POOL.id()).vm();
  }

  private String nonOwner() {
    return fleet.vms.keySet().stream().filter(vm -> !vm.equals(owner())).findFirst().orElseThrow();
  }

  @Nested
  class Handover {
    @Test
    void newOwnerGrantsNoSlotThatGatewaysStillHold() {
      fleet.meanServiceMs = 4_000;
      String old = owner();
      String gateway = nonOwner();
      for (int i = 0; i < ALL_SLOTS; i++) {
        fleet.submit(gateway, LOWEST, "o", false);
      }
      fleet.advance(100);
      fleet.kill(old);
      fleet.vms.keySet().forEach(vm -> fleet.refreshView(vm, member -> true));
      TrackedRequest late = fleet.submit(gateway, LOWEST, "o", false);
      fleet.advance(1_000);
      assertThat(fleet.faultOrFallbackSeen).isFalse();
      assertThat(late.isPending()).isTrue();
      assertThat(fleet.maxBusySlots).isEqualTo(DispatchFleet.SLOTS);
    }

    @Test
    void resumedOwnerGrantsNoSlotThatWasGrantedMeanwhile() {
      fleet.meanServiceMs = 20_000;
      String old = owner();
      final String gateway = nonOwner();
      fleet.network.pause(old);
      fleet.vms.get(old).paused = true;
      fleet.vms.keySet().stream()
          .filter(vm -> !vm.equals(old))
          .forEach(vm -> fleet.refreshView(vm, member -> !member.vm().equals(old)));
      for (int i = 0; i < ALL_SLOTS; i++) {
        fleet.submit(gateway, LOWEST, "o", false);
      }
      fleet.advance(2_000);
      fleet.vms.keySet().forEach(vm -> fleet.refreshView(vm, member -> true));
      fleet.network.resume(old);
      fleet.vms.get(old).paused = false;
      fleet.advance(60);
      fleet.submit(old, LOWEST, "o", false);
      fleet.submit(gateway, LOWEST, "o", false);
      fleet.advance(2_000);
      assertThat(fleet.maxBusySlots).isEqualTo(DispatchFleet.SLOTS);
    }

    @Test
    void slotsOfReplacedVmAreReleasedWhenItSendsNothing() {
      fleet.meanServiceMs = 60_000;
      String gateway = nonOwner();
      fleet.submit(gateway, LOWEST, "o", false);
      fleet.advance(100);
      assertThat(fleet.slotsRecordedAsHeld()).isEqualTo(1);
      fleet.kill(gateway);
      fleet.start(gateway);
      fleet.advance(3_000);
      assertThat(fleet.slotsRecordedAsHeld()).isEqualTo(0);
    }

    @Test
    void unreachableGatewayGrantsFromItsShareByTier() {
      String gateway = nonOwner();
      fleet.vms.keySet().stream()
          .filter(vm -> !vm.equals(gateway))
          .forEach(vm -> fleet.network.partition(vm, gateway));
      fleet.meanServiceMs = 300;
      List<TrackedRequest> lowestTier = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        lowestTier.add(fleet.submit(gateway, LOWEST, "o", false));
      }
      TrackedRequest top = fleet.submit(gateway, TOP, "o", false);
      fleet.advance(480);
      assertThat(top.isGranted()).isTrue();
      assertThat(lowestTier.stream().filter(TrackedRequest::isGranted).count()).isEqualTo(1);
    }
  }

  @Nested
  class Tiers {
    @Test
    void topTierRequestPreemptsPreemptibleWork() {
      fleet.meanServiceMs = 10_000;
      load(200, new Flow(TOP, "warm", 1));
      for (int i = 0; i < ALL_SLOTS; i++) {
        fleet.submit(nonOwner(), LOWEST, "o", true);
      }
      fleet.advance(20_000);
      List<TrackedRequest> running = new ArrayList<>();
      for (int i = 0; i < ALL_SLOTS; i++) {
        running.add(fleet.submit(nonOwner(), LOWEST, "o", true));
      }
      fleet.advance(100);
      TrackedRequest top = fleet.submit(owner(), TOP, "o", false);
      fleet.advance(100);
      assertThat(top.isGranted()).isTrue();
      assertThat(running.stream().filter(one -> one.preempted).count()).isEqualTo(1);
    }

    @Test
    void lowestTierIsServedWhileTheTopTierAloneOverloadsThePool() {
      long start = fleet.clock.nowMs();
      load(MINUTE_MS, new Flow(TOP, "o", 80), new Flow(LOWEST, "o", 1));
      assertThat(longestGapMs(requestsOf(LOWEST, "o"), start)).isAtMost(starvationBoundMs(1));
      assertThat(fleet.violations).isEmpty();
      double perSecond = grantedFraction(requestsOf(TOP, "o")) * requestsOf(TOP, "o").size() / 60.0;
      assertThat(perSecond).isAtLeast(37.0);
    }

    @Test
    void everyTierIsServedWhileEachAloneOverloadsThePool() {
      final long start = fleet.clock.nowMs();
      Flow[] flows =
          DispatchFleet.CLASSES.stream()
              .map(serviceClass -> new Flow(serviceClass, "o", 60))
              .toArray(Flow[]::new);
      load(MINUTE_MS, flows);
      for (ServiceClass serviceClass : DispatchFleet.CLASSES) {
        assertWithMessage(serviceClass.name())
            .that(longestGapMs(requestsOf(serviceClass, "o"), start))
            .isAtMost(starvationBoundMs(3));
      }
      assertThat(fleet.violations).isEmpty();
    }

    @Test
    void topTierThatFitsAloneIsServedWhileAllElseOverloads() {
      Flow[] flows = {
        new Flow(TOP, "o", 20),
        new Flow(DispatchFleet.CLASSES.get(1), "o", 30),
        new Flow(DispatchFleet.CLASSES.get(2), "o", 30),
        new Flow(LOWEST, "o", 30)
      };
      load(MINUTE_MS, flows);
      assertThat(grantedFraction(requestsOf(TOP, "o"))).isAtLeast(0.99);
    }
  }

  @Nested
  class Fairness {
    @Test
    void burstOfLargeOrganisationDoesNotRefuseSmallOne() {
      load(10_000, new Flow(TOP, "small", 4));
      load(20_000, new Flow(TOP, "large", 120), new Flow(TOP, "small", 4));
      assertThat(grantedFraction(requestsOf(TOP, "small"))).isAtLeast(0.99);
    }
  }

  @Nested
  class Admission {
    @Test
    void refusalsAreImmediateAndCarryRetryDelay() {
      load(20_000, new Flow(TOP, "o", 80));
      List<TrackedRequest> refused =
          fleet.requests.stream().filter(TrackedRequest::isRefused).toList();
      long atOnce =
          refused.stream().filter(one -> one.respondedMs - one.request.arrivedMs() <= 20).count();
      assertThat(atOnce / (double) refused.size()).isAtLeast(0.95);
      assertThat(refused.stream().map(DispatcherTest::retryAfterMs).min(Comparator.naturalOrder()))
          .isNotEqualTo(java.util.Optional.of(0L));
    }

    @Test
    void nothingIsRefusedWhileTheLoadFits() {
      load(MINUTE_MS, new Flow(TOP, "a", 14), new Flow(LOWEST, "b", 14));
      fleet.advance(2_000);
      assertThat(fleet.requests.stream().filter(TrackedRequest::isRefused).count()).isEqualTo(0);
    }

    @Test
    void fullQueueShedsTheLowestTier() {
      DispatchFleet small = new DispatchFleet(1, 13, new QueueLimits(2, 5_000, 1_000, 20));
      small.meanServiceMs = 500;
      List<TrackedRequest> lowestTier = new ArrayList<>();
      for (int i = 0; i < ALL_SLOTS + 2; i++) {
        lowestTier.add(small.submit("vm-0", LOWEST, "o", false));
      }
      small.advance(50);
      final TrackedRequest top = small.submit("vm-0", TOP, "o", false);
      small.advance(50);
      assertThat(lowestTier.stream().filter(TrackedRequest::isRefused).count()).isEqualTo(1);
      small.advance(600);
      assertThat(top.isGranted()).isTrue();
    }
  }

  private static long retryAfterMs(TrackedRequest request) {
    LeaseResponse.Refused refused = (LeaseResponse.Refused) request.response.get();
    return refused.retryAfterMs().orElse(0L);
  }
}
