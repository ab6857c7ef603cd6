package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointSpeedsTest {

  private static final double[] UNEVEN = {0.7, 0.7, 1.7};
  private static final double MEAN_MS = 30;

  private final Random random = new Random(1);
  private long nowMs = 1_000;

  /** Returns endpoints after a number of streams at each, whose pauses vary by half. */
  private List<SpeedObservations> endpoints(int count, int streams, double... slowness) {
    List<SpeedObservations> paces =
        IntStream.range(0, count).mapToObj(i -> new SpeedObservations()).toList();
    for (int i = 0; i < count * streams; i++) {
      double variation = 0.75 + 0.5 * random.nextDouble();
      paces
          .get(i % count)
          .onStream(MEAN_MS * slowness[i % count % slowness.length] * variation, 20, nowMs);
    }
    return paces;
  }

  private double factor(List<SpeedObservations> endpoints, int index) {
    List<SpeedEvidence> evidence = endpoints.stream().map(pace -> pace.evidence(nowMs)).toList();
    return EndpointSpeeds.of(evidence).factor(evidence.get(index));
  }

  @Test
  void findsSlowEngines() {
    List<SpeedObservations> endpoints = endpoints(78, 4, UNEVEN);
    assertThat(factor(endpoints, 2) / factor(endpoints, 0)).isWithin(0.5).of(1.7 / 0.7);
  }

  @Test
  void leavesEqualEnginesNearTheMean() {
    List<SpeedObservations> endpoints = endpoints(78, 2, 1);
    for (int i = 0; i < endpoints.size(); i++) {
      assertThat(factor(endpoints, i)).isWithin(0.1).of(1);
    }
  }

  @Nested
  class ThinEvidence {

    @Test
    void isDrawnToTheMean() {
      List<SpeedObservations> endpoints = endpoints(78, 4, UNEVEN);
      SpeedObservations known = endpoints.get(2);
      SpeedObservations fresh = new SpeedObservations();
      fresh.onStream(1.7 * MEAN_MS, 1, nowMs);
      List<SpeedObservations> both = List.of(endpoints.get(0), endpoints.get(1), known, fresh);
      assertThat(factor(both, 3)).isLessThan(factor(both, 2));
      assertThat(factor(both, 3)).isAtLeast(1.0);
    }

    @Test
    void ofAnUnknownEngineIsTheMean() {
      List<SpeedObservations> endpoints = endpoints(6, 4, UNEVEN);
      assertThat(factor(List.of(endpoints.get(0), endpoints.get(2), new SpeedObservations()), 2))
          .isEqualTo(1.0);
    }
  }

  @Test
  void followsAnEngineThatBecomesSlower() {
    List<SpeedObservations> endpoints = endpoints(12, 12, 1);
    for (int i = 0; i < 6; i++) {
      endpoints.get(0).onStream(3 * MEAN_MS, 20, nowMs);
    }
    assertThat(factor(endpoints, 0)).isGreaterThan(1.4);
    nowMs += 120_000;
    for (int i = 0; i < 4; i++) {
      endpoints.forEach(pace -> pace.onStream(MEAN_MS, 20, nowMs));
    }
    assertThat(factor(endpoints, 0)).isWithin(0.15).of(1);
  }

  @Test
  void forgetsAnIncarnation() {
    ListedEndpoint entry =
        new ListedEndpoint("e", "service", "10.0.0.1:80", "zone-a", "v1", 12, false, 1);
    TrackedEndpoint engine = new TrackedEndpoint(entry);
    engine.speed().onStream(90, 20, nowMs);
    engine.update(new ListedEndpoint("e", "service", "10.0.0.1:80", "zone-a", "v1", 12, false, 2));
    assertThat(engine.speed().evidence(nowMs).weight()).isEqualTo(0.0);
  }

  @Nested
  class OtherVms {

    private final SpeedObservations own = new SpeedObservations();
    private final SpeedObservations observer = new SpeedObservations();

    @Test
    void areToldEachObservationOnce() {
      own.onStream(40, 20, nowMs);
      observer.onReported(own.takeUnreported(), nowMs);
      assertThat(own.takeUnreported().weight()).isEqualTo(0.0);
      own.onTold(observer.evidence(nowMs), nowMs);
      assertThat(own.evidence(nowMs).weight()).isEqualTo(1.0);
      assertThat(own.takeUnreported().weight()).isEqualTo(0.0);
    }

    @Test
    void thatSendNonsenseAreIgnored() {
      own.onTold(new SpeedEvidence(1e9, 1, 1), nowMs);
      own.onReported(new SpeedEvidence(1, Double.NaN, 1), nowMs);
      own.onReported(new SpeedEvidence(-1, 0, 1), nowMs);
      assertThat(own.evidence(nowMs).weight()).isEqualTo(0.0);
    }
  }

  @Test
  void medianPauseIgnoresThePrefillsOfOthers() {
    PauseMedian pauses = new PauseMedian();
    for (int i = 0; i < 20; i++) {
      nowMs += i % 5 == 4 ? 150 : 30;
      pauses.onEvents(nowMs);
    }
    assertThat(pauses.medianMs()).isEqualTo(30.0);
    assertThat(pauses.count()).isEqualTo(19);
  }
}
