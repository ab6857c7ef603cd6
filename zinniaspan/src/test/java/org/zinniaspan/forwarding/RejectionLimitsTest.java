package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RejectionLimitsTest {

  private long nowMs = 10_000;

  private static ListedEndpoint listed(String id, long startedAtMs) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "z", "v1", 6, false, startedAtMs);
  }

  private RejectionLimits limits(PermitShare share, ToDoubleFunction<String> slotMs) {
    return new RejectionLimits(
        () -> nowMs, () -> 1_000_000 + nowMs, new ChangeSequence(), () -> share, slotMs);
  }

  @Nested
  class Statements {

    private final RejectionLimits limits = limits(new PermitShare(0, 1, 0, 1), service -> 200);
    private final ListedEndpoint first = listed("e1", 1);
    private final ListedEndpoint second = listed("e2", 1);

    @Test
    void concernEndpointsOfTheServiceThatHaveNotAnsweredYet() {
      limits.onResponse(first, Optional.of(5));
      assertThat(limits.appliesTo(second)).isTrue();
      assertThat(limits.appliesTo(listed("e1", 2))).isTrue();
      ListedEndpoint other =
          new ListedEndpoint("o", "other", "10.0.0.2:80", "z", "v1", 6, false, 1);
      assertThat(limits.appliesTo(other)).isFalse();
    }

    @Test
    void endWithTheAnswerThatStatesNone() {
      limits.onResponse(first, Optional.of(5));
      limits.onResponse(second, Optional.of(5));
      nowMs += 100;
      limits.onResponse(first, Optional.empty());
      assertThat(limits.appliesTo(first)).isFalse();
      assertThat(limits.appliesTo(second)).isTrue();
      assertThat(limits.appliesTo(listed("e3", 1))).isFalse();
    }

    @Test
    void areOutdatedIfNobodyHearsThemAnyMore() {
      limits.onResponse(first, Optional.of(5));
      nowMs += 61_000;
      assertThat(limits.appliesTo(first)).isFalse();
      assertThat(limits.appliesTo(second)).isFalse();
      assertThat(limits.size()).isEqualTo(0);
    }

    @Test
    void concernNoEndpointBeforeTheFirst() {
      limits.onResponse(first, Optional.empty());
      limits.onRejected(first);
      assertThat(limits.appliesTo(first)).isFalse();
      assertThat(limits.remainingMs(new TrackedEndpoint(first))).isEqualTo(0);
    }
  }

  @Nested
  class Rejections {

    private final RejectionLimits here = limits(new PermitShare(0, 1, 0, 2), service -> 200);
    private final RejectionLimits elsewhere = limits(new PermitShare(0, 1, 1, 2), service -> 200);
    private final ListedEndpoint endpoint = listed("e", 1);

    private void exchange() {
      elsewhere.mergeLimits(here.limitsSince(0, true));
      elsewhere.mergeRejections(here.rejectionsSince(0, true));
    }

    @Test
    void pauseTheEndpointForAllVms() {
      here.onResponse(endpoint, Optional.of(5));
      here.onRejected(endpoint);
      exchange();
      assertThat(here.remainingMs(new TrackedEndpoint(endpoint))).isAtLeast(250);
      assertThat(elsewhere.remainingMs(new TrackedEndpoint(endpoint))).isAtLeast(250);
    }

    @Test
    void pauseNoOtherIncarnation() {
      here.onResponse(endpoint, Optional.of(5));
      here.onRejected(endpoint);
      exchange();
      assertThat(elsewhere.remainingMs(new TrackedEndpoint(listed("e", 2)))).isLessThan(250);
    }

    @Test
    void areToldOnceIfTheyFollowOneAnother() {
      here.onResponse(endpoint, Optional.of(5));
      here.onRejected(endpoint);
      assertThat(here.rejectionsSince(0, true)).hasSize(1);
      long told = here.rejectionsSince(0, true).get(0).atMs();
      nowMs += 50;
      here.onRejected(endpoint);
      assertThat(here.rejectionsSince(0, true).get(0).atMs()).isEqualTo(told);
    }
  }

  /** VMs of several numbers that all want to send to one endpoint. */
  @Nested
  class AllVmsTogether {

    private static final long DURATION_MS = 20_000;
    private static final int SLOT_MS = 200;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 9, 74, 371})
    void sendNoMoreThanTheSlotsTake(int vms) {
      List<RejectionLimits> all = new ArrayList<>();
      for (int number = 0; number < vms; number++) {
        all.add(limits(new PermitShare(0, 1, number, vms), service -> SLOT_MS));
      }
      ListedEndpoint endpoint = listed("e", 1);
      all.forEach(vm -> vm.onResponse(endpoint, Optional.of(5)));
      int sent = 0;
      for (long endMs = nowMs + DURATION_MS; nowMs < endMs; nowMs += 20) {
        for (RejectionLimits vm : all) {
          if (vm.remainingMs(new TrackedEndpoint(endpoint)) <= 0) {
            vm.onSent(endpoint);
            sent++;
          }
        }
      }
      double capacity = (double) endpoint.slots() * DURATION_MS / SLOT_MS;
      assertWithMessage("sent").that((double) sent).isAtMost(0.9 * capacity);
      assertWithMessage("sent").that((double) sent).isAtLeast(0.4 * capacity);
    }
  }

  /** VMs that send more than endpoints can take, which fail when they reject too many. */
  @Nested
  class Overload {

    private static final int VMS = 9;
    private static final int SLOTS = 6;
    private static final int QUEUE = 2;
    private static final int REJECTIONS_PER_SECOND = 5;
    private static final int DOWN_MS = 4_000;
    private static final int SERVICE_MS = 200;
    private static final int MAX_WAIT_MS = 150;
    private static final int DURATION_MS = 30_000;

    /** Time from the first statement to the smaller queue, in milliseconds. */
    private static final int NOTICE_MS = 3_000;

    private record Completion(long atMs, long sentMs, Vm vm, Endpoint endpoint) {}

    private final class Endpoint {
      private final ListedEndpoint entry;
      private final Deque<Long> rejectedMs = new ArrayDeque<>();
      private int taken;
      private long downUntilMs;
      private int failures;

      private Endpoint(int number) {
        entry = listed("e" + number, 1);
      }

      private boolean offer() {
        if (taken < SLOTS + QUEUE) {
          taken++;
          return true;
        }
        rejectedMs.addLast(nowMs);
        while (rejectedMs.peekFirst() <= nowMs - 1_000) {
          rejectedMs.removeFirst();
        }
        if (rejectedMs.size() > REJECTIONS_PER_SECOND) {
          failures++;
          downUntilMs = nowMs + DOWN_MS;
          rejectedMs.clear();
        }
        return false;
      }
    }

    private final class Vm {
      private final MeasuredEngineSpeed speed = new MeasuredEngineSpeed();
      private final RejectionLimits limits;
      private final List<TrackedEndpoint> tracked = new ArrayList<>();
      private final Deque<Long> waiting = new ArrayDeque<>();

      private Vm(int number) {
        limits = limits(new PermitShare(0, 1, number, VMS), service -> speed.slotMs());
      }
    }

    private final Random random = new Random(7);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Completion> completions =
        new PriorityQueue<>(Comparator.comparingLong(Completion::atMs));
    private int served;

    private void run(double load, boolean stated) {
      for (int number = 0; number < 3; number++) {
        endpoints.add(new Endpoint(number));
      }
      for (int number = 0; number < VMS; number++) {
        Vm vm = new Vm(number);
        endpoints.forEach(e -> vm.tracked.add(new TrackedEndpoint(e.entry)));
        vms.add(vm);
      }
      double arrivalsPerMs = load * endpoints.size() * SLOTS / SERVICE_MS;
      for (long end = nowMs + DURATION_MS; nowMs < end; nowMs++) {
        complete(stated);
        boolean underLoad = end - nowMs < DURATION_MS - NOTICE_MS;
        if (random.nextDouble() < (underLoad ? arrivalsPerMs : arrivalsPerMs / load / 2)) {
          vms.get(random.nextInt(VMS)).waiting.addLast(nowMs);
        }
        vms.forEach(vm -> send(vm, stated));
      }
    }

    private void complete(boolean stated) {
      while (!completions.isEmpty() && completions.peek().atMs() <= nowMs) {
        Completion done = completions.poll();
        TrackedEndpoint endpoint = done.vm().tracked.get(endpoints.indexOf(done.endpoint()));
        endpoint.onEnded();
        done.endpoint().taken--;
        done.vm().speed.onPlainCall(nowMs - done.sentMs());
        if (stated) {
          done.vm().limits.onResponse(endpoint.listed(), Optional.of(REJECTIONS_PER_SECOND));
        }
        served++;
      }
    }

    private void send(Vm vm, boolean stated) {
      vm.waiting.removeIf(arrivedMs -> nowMs - arrivedMs > MAX_WAIT_MS);
      while (!vm.waiting.isEmpty()) {
        Optional<TrackedEndpoint> chosen =
            vm.tracked.stream()
                .filter(e -> endpoints.get(vm.tracked.indexOf(e)).downUntilMs <= nowMs)
                .filter(e -> vm.limits.remainingMs(e) <= 0)
                .min(Comparator.comparingInt(TrackedEndpoint::inFlight));
        if (chosen.isEmpty()) {
          return;
        }
        vm.waiting.removeFirst();
        Endpoint endpoint = endpoints.get(vm.tracked.indexOf(chosen.get()));
        if (endpoint.offer()) {
          chosen.get().onSent(0, nowMs);
          vm.limits.onSent(endpoint.entry);
          long serviceMs = Math.round(SERVICE_MS * (0.5 + random.nextDouble()));
          completions.add(new Completion(nowMs + serviceMs, nowMs, vm, endpoint));
        } else {
          if (stated) {
            vm.limits.onResponse(endpoint.entry, Optional.of(REJECTIONS_PER_SECOND));
          }
          vm.limits.onRejected(endpoint.entry);
        }
      }
    }

    private int failures() {
      return endpoints.stream().mapToInt(e -> e.failures).sum();
    }

    @Test
    void makesEndpointsFailIfTheyStateNoLimit() {
      run(2, false);
      assertThat(failures()).isGreaterThan(6);
    }

    @Test
    void makesNoEndpointFailThatStatesItsLimit() {
      run(2, true);
      assertThat(failures()).isEqualTo(0);
    }

    @Test
    void leavesMostOfTheSlotsInUse() {
      run(2, true);
      double capacity = (double) endpoints.size() * SLOTS * DURATION_MS / SERVICE_MS;
      assertThat(served).isGreaterThan((int) (0.6 * capacity));
    }
  }
}
