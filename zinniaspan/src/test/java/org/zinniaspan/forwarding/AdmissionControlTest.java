package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {

  private static final int SLOTS = 64;
  private static final AdmissionControl.Request URGENT =
      new AdmissionControl.Request(0, false, false, 300, 15_000);
  private static final AdmissionControl.Request LEAST_URGENT =
      new AdmissionControl.Request(2, true, true, 2_000, 15_000);

  private long nowMs = 10_000;
  private final AdmissionControl admission = new AdmissionControl(() -> nowMs, new Random(1));
  private final TrackedEndpoint engine =
      new TrackedEndpoint(
          new ListedEndpoint("e", "service", "10.0.0.1:80", "zone-a", "v1", SLOTS, false, 1));

  private Optional<Refusal> decide(
      AdmissionControl.Request request, double expectedMs, long uncachedTokens) {
    return admission.decide(
        request, new EndpointSelector.Selection(engine, expectedMs, uncachedTokens));
  }

  private void report(int queued, int active) {
    engine.onReport(new EngineReport(queued, active, 1), nowMs);
  }

  @Test
  void admitsEverythingBelowTheMinimumOccupancy() {
    report(0, 10);
    assertThat(decide(URGENT, 5_000, 800)).isEmpty();
  }

  @Nested
  class BurstOfUrgentShortPrompts {

    @Test
    void refusesRequestsThatWouldMissTheirLatencyTarget() {
      report(60, 64);
      assertThat(decide(URGENT, 250, 800)).isEmpty();
      Refusal refusal = decide(URGENT, 900, 800).orElseThrow();
      assertThat(refusal.reason()).isEqualTo("too-late");
    }

    @Test
    void spreadsRetryAfterWithinWhatClientsHonour() {
      report(60, 64);
      for (int i = 0; i < 200; i++) {
        long afterMs = decide(URGENT, 900, 800).orElseThrow().retryAfterMs();
        assertThat(afterMs).isAtLeast(2_500);
        assertThat(afterMs).isAtMost(5_000);
      }
    }

    @Test
    void refusesLessUrgentRequestsAfterAnUrgentOne() {
      report(60, 64);
      decide(URGENT, 900, 800);
      assertThat(decide(LEAST_URGENT, 100, 2_000).orElseThrow().reason()).isEqualTo("urgent-first");
      nowMs += 1_000;
      assertThat(decide(LEAST_URGENT, 100, 2_000)).isEmpty();
    }

    @Test
    void admitsUrgentRequestsWhileLessUrgentOnesAreAdmitted() {
      report(60, 64);
      assertThat(decide(LEAST_URGENT, 100, 2_000)).isEmpty();
      assertThat(decide(URGENT, 900, 800)).isEmpty();
      assertThat(decide(LEAST_URGENT, 100, 2_000)).isPresent();
      nowMs += 1_600;
      assertThat(decide(URGENT, 900, 800)).isPresent();
    }

    @Test
    void neverRefusesUrgentRequestsBecauseOfLessUrgentOnes() {
      report(60, 64);
      decide(LEAST_URGENT, 9_000, 2_000);
      assertThat(decide(URGENT, 250, 800)).isEmpty();
    }
  }

  @Nested
  class BurstOfLongPrompts {

    @Test
    void refusesLongPromptsAboveTheOccupancyLimit() {
      report(4, 52);
      assertThat(decide(LEAST_URGENT, 500, 9_000).orElseThrow().reason()).isEqualTo("engines-full");
      assertThat(decide(LEAST_URGENT, 500, 2_000)).isEmpty();
    }

    @Test
    void limitsRetryAfterToHalfTheLatencyTarget() {
      report(40, 52);
      long afterMs = decide(LEAST_URGENT, 3_000, 9_000).orElseThrow().retryAfterMs();
      assertThat(afterMs).isAtMost(LEAST_URGENT.targetMs() / 2);
    }
  }
}
