package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointBackoffTest {

  private long nowMs = 10_000;

  private static ListedEndpoint listed(String id, long startedAtMs) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "z", "v1", 6, false, startedAtMs);
  }

  @Nested
  class RetryAfter {

    private final EndpointBackoff backoff =
        new EndpointBackoff(() -> nowMs, new Random(1), () -> 9);
    private final TrackedEndpoint endpoint = new TrackedEndpoint(listed("e", 1));

    @Test
    void pausesTheEndpointForItsTime() {
      backoff.onRejected(endpoint.listed(), 0, Optional.of(1_500L));
      assertThat(backoff.admits(endpoint)).isFalse();
      assertThat(backoff.remainingMs(endpoint.listed())).isEqualTo(1_500);
      nowMs += 1_500;
      assertThat(backoff.admits(endpoint)).isTrue();
    }

    @Test
    void doesNotConcernTheNextIncarnation() {
      backoff.onRejected(endpoint.listed(), 0, Optional.of(1_500L));
      assertThat(backoff.admits(new TrackedEndpoint(listed("e", 2)))).isTrue();
    }

    @Test
    void pausesNothingIfNotStated() {
      backoff.onRejected(endpoint.listed(), 0, Optional.empty());
      assertThat(backoff.admits(endpoint)).isTrue();
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

    private record Completion(long atMs, Vm vm, Endpoint endpoint) {}

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
      private final EndpointBackoff backoff =
          new EndpointBackoff(() -> nowMs, new Random(random.nextLong()), () -> VMS);
      private final List<TrackedEndpoint> tracked = new ArrayList<>();
      private final Deque<Long> waiting = new ArrayDeque<>();
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
        Vm vm = new Vm();
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
        done.vm().backoff.onAnswered(endpoint.listed());
        if (stated) {
          done.vm().backoff.onResponse(endpoint.listed(), Optional.of(REJECTIONS_PER_SECOND));
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
                .filter(vm.backoff::admits)
                .min(Comparator.comparingInt(TrackedEndpoint::inFlight));
        if (chosen.isEmpty()) {
          return;
        }
        vm.waiting.removeFirst();
        Endpoint endpoint = endpoints.get(vm.tracked.indexOf(chosen.get()));
        if (endpoint.offer()) {
          chosen.get().onSent(0, nowMs);
          long serviceMs = Math.round(SERVICE_MS * (0.5 + random.nextDouble()));
          completions.add(new Completion(nowMs + serviceMs, vm, endpoint));
        } else {
          if (stated) {
            vm.backoff.onResponse(endpoint.entry, Optional.of(REJECTIONS_PER_SECOND));
          }
          vm.backoff.onRejected(endpoint.entry, chosen.get().inFlight(), Optional.empty());
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
