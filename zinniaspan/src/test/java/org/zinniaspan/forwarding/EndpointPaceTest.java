package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointPaceTest {

  private static final int SLOTS = 16;
  private static final long CALL_MS = 1_000;

  private long nowMs = 50_000_000;
  private Optional<ColdSpec> cold = Optional.empty();

  private static ListedEndpoint listed(String id, long startedAtMs) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "z", "v1", SLOTS, false, startedAtMs);
  }

  private EndpointPace pace(EndpointDirectory directory, PermitShare share) {
    return new EndpointPace(
        () -> nowMs, () -> nowMs, directory, service -> cold, service -> CALL_MS, () -> share);
  }

  /** One VM and an endpoint that was there from the beginning. */
  @Nested
  class OneVm {

    private final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
    private final EndpointPace pace = pace(directory, new PermitShare(0, 1, 0, 1));

    OneVm() {
      directory.replaceAll(List.of(listed("e", 1)));
    }

    private TrackedEndpoint endpoint(String id) {
      return directory.endpoint(id).orElseThrow();
    }

    private boolean isPaced(String id) {
      pace.remainingMs(endpoint(id));
      return pace.appliesTo(endpoint(id).listed());
    }

    private void start(String id, long startedAtMs) {
      directory.apply(new EndpointChange.Listed(listed(id, startedAtMs)));
    }

    /** Returns how long an endpoint is paced, in milliseconds. */
    private long pacedMs(String id, Runnable each) {
      final long beganMs = nowMs;
      while (isPaced(id) && nowMs - beganMs < 60_000) {
        each.run();
        nowMs += 20;
      }
      return nowMs - beganMs;
    }

    @Test
    void pacesNoEndpointThatWasThereBefore() {
      assertThat(isPaced("e")).isFalse();
    }

    @Test
    void pacesNewEndpointsForLessThanThreeSecondsIfTheyKeepTheirTime() {
      start("f", 2);
      assertThat(pacedMs("f", () -> {})).isIn(com.google.common.collect.Range.closed(500L, 3_000L));
      assertThat(isPaced("f")).isFalse();
    }

    @Test
    void leavesThoseAloneThatStateWhatTheyTakeWhileCold() {
      cold = ColdSpec.of(3, 8.5);
      start("f", 2);
      assertThat(isPaced("f")).isFalse();
    }

    @Test
    void pacesEachIncarnationOfCrashLoops() {
      for (int i = 2; i < 6; i++) {
        start("e", i);
        assertWithMessage("incarnation %s", i).that(isPaced("e")).isTrue();
        assertThat(pacedMs("e", () -> {})).isAtMost(3_000);
      }
    }

    @Test
    void pacesEndpointsThatCanBeConnectedToAgain() {
      pace.onConnected(endpoint("e").listed());
      assertThat(isPaced("e")).isFalse();
      pace.onConnectFailed(endpoint("e").listed());
      assertThat(isPaced("e")).isFalse();
      nowMs += 5_000;
      pace.onConnected(endpoint("e").listed());
      assertThat(isPaced("e")).isTrue();
      assertThat(pacedMs("e", () -> {})).isAtMost(3_000);
    }

    @Test
    void pacesEndpointsThatRecoverFromFailing() {
      for (int i = 0; i < 4; i++) {
        endpoint("e").onFailure(nowMs);
      }
      assertThat(isPaced("e")).isFalse();
      nowMs += 8_000;
      assertThat(isPaced("e")).isTrue();
    }

    @Test
    void lastsLongerWhileAnswersAreLateButNotForever() {
      start("f", 2);
      long pacedMs = pacedMs("f", () -> endpoint("f").onDelay(false, 2_000, nowMs));
      assertThat(pacedMs).isAtLeast(5_000);
      assertThat(pacedMs).isAtMost(9_000);
      assertThat(isPaced("f")).isFalse();
    }

    @Test
    void endsAfterSlowStarts() {
      start("f", 2);
      final long beganMs = nowMs;
      long pacedMs =
          pacedMs(
              "f",
              () -> {
                if (nowMs - beganMs < 3_000) {
                  endpoint("f").onDelay(false, 1_000, nowMs);
                }
              });
      assertThat(pacedMs).isGreaterThan(3_000L);
      assertThat(pacedMs).isAtMost(9_000);
    }
  }

  /** Many VMs to whose endpoints, all full, an empty one is added. */
  @Nested
  class ManyVms {

    /**
     * Requests a second that would go to the new endpoint while it is empty, as the others are
     * full; fewer the more of its slots are reported to be taken.
     */
    private static final double DEMAND_PER_SECOND = 200;

    private static final long REPORT_MS = 350;

    private final Random random = new Random(7);
    private final List<EndpointDirectory> directories = new ArrayList<>();
    private final List<EndpointPace> paces = new ArrayList<>();
    private final PriorityQueue<Long> endsMs = new PriorityQueue<>();
    private final List<Long> sentMs = new ArrayList<>();
    private long late;
    private long startedMs;

    private void play(int vms, boolean paced, long slowMs) {
      for (int i = 0; i < vms; i++) {
        EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
        directory.replaceAll(List.of(listed("full", 1)));
        directories.add(directory);
        int ofZone = vms / 3 + (i % 3 < vms % 3 ? 1 : 0);
        paces.add(pace(directory, new PermitShare(i % 3, 3, i / 3, ofZone)));
        directory.apply(new EndpointChange.Listed(listed("new", 2)));
      }
      startedMs = nowMs;
      long reportMs = 0;
      for (; nowMs < startedMs + 8_000; nowMs += 20) {
        while (!endsMs.isEmpty() && endsMs.peek() <= nowMs) {
          endsMs.poll();
        }
        if (nowMs - reportMs >= REPORT_MS) {
          reportMs = nowMs;
          int active = Math.min(SLOTS, endsMs.size());
          EngineReport report = new EngineReport(endsMs.size() - active, active, 2);
          directories.forEach(d -> d.endpoint("new").orElseThrow().onReport(report, nowMs));
        }
        for (int i = 0; i < vms; i++) {
          if (random.nextDouble() < DEMAND_PER_SECOND * 0.02 / vms) {
            maySend(i, paced, slowMs);
          }
        }
      }
    }

    private void maySend(int vm, boolean paced, long slowMs) {
      TrackedEndpoint endpoint = directories.get(vm).endpoint("new").orElseThrow();
      if (random.nextDouble() < endpoint.occupancy()
          || (paced && paces.get(vm).remainingMs(endpoint) > 0)) {
        return;
      }
      paces.get(vm).onSent(endpoint.listed());
      endpoint.onSent(100, nowMs);
      sentMs.add(nowMs);
      late += endsMs.size() >= SLOTS ? 1 : 0;
      long callMs = nowMs - startedMs < slowMs ? 3 * CALL_MS : CALL_MS;
      long beginMs = nowMs;
      if (endsMs.size() >= SLOTS) {
        beginMs = endsMs.stream().sorted().skip(endsMs.size() - SLOTS).findFirst().orElseThrow();
      }
      endsMs.add(beginMs + callMs);
    }

    private int most(long fromMs, long toMs) {
      Deque<Long> window = new ArrayDeque<>();
      int most = 0;
      for (long ms : sentMs) {
        if (ms >= startedMs + fromMs && ms < startedMs + toMs) {
          window.addLast(ms);
          while (ms - window.peekFirst() >= 1_000) {
            window.pollFirst();
          }
          most = Math.max(most, window.size());
        }
      }
      return most;
    }

    private long sentBetween(long fromMs, long toMs) {
      return sentMs.stream()
          .filter(ms -> ms >= startedMs + fromMs && ms < startedMs + toMs)
          .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 91, 371})
    void sendNoMoreThanTheEndpointTakesInItsFirstSecond(int vms) {
      play(vms, true, 0);
      assertThat(most(0, 1_000)).isAtMost(SLOTS);
      assertWithMessage("share after 4 s").that(sentBetween(4_000, 6_000)).isAtLeast(SLOTS);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 91, 371})
    void sendFewerLateRequestsThanWithoutPace(int vms) {
      play(vms, true, 3_000);
      final long lateWithPace = late;
      final long mostWithPace = most(0, 3_000);
      late = 0;
      sentMs.clear();
      endsMs.clear();
      directories.clear();
      paces.clear();
      nowMs += 60_000;
      play(vms, false, 3_000);
      assertThat(mostWithPace).isLessThan((long) most(0, 3_000));
      assertThat(lateWithPace).isLessThan(late);
    }
  }
}
