package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Decisions of one VM that sees few requests itself, by what others tell of theirs. */
class SharedAdmissionTest {

  private static final String SERVICE = "service";
  private static final long LONG_AGO_MS = 60_000;

  private long nowMs = 10_000;
  private final SharedPressure pressure = new SharedPressure(() -> nowMs, () -> 91);
  private final AdmissionControl admission =
      new AdmissionControl(() -> nowMs, new Random(1), Optional.of(pressure));
  private final TrackedEndpoint engine =
      new TrackedEndpoint(
          new ListedEndpoint("e", SERVICE, "10.0.0.1:80", "zone-a", "v1", 16, false, 1));

  @BeforeEach
  void loadEngine() {
    engine.onReport(new EngineReport(2, 11, 1), nowMs);
  }

  private static PressureDemand.Rank rank(
      double offered, double late, long admittedAgeMs, Map<String, Double> work) {
    return new PressureDemand.Rank(offered, late, admittedAgeMs, work, 0, 0);
  }

  private void tell(PressureDemand.Rank urgent, PressureDemand.Rank leastUrgent) {
    pressure.onFleet(List.of(new PressureDemand(SERVICE, Map.of(0, urgent, 2, leastUrgent))));
  }

  private Optional<String> decide(
      int rank, double expectedMs, String organisation, boolean returning) {
    AdmissionControl.Request request =
        new AdmissionControl.Request(
            rank, rank == 2, rank == 2, 600, 12_000, organisation, 800, returning);
    return admission
        .decide(request, new EndpointSelector.Selection(engine, expectedMs, 800))
        .map(Refusal::reason);
  }

  /** Returns the share of requests that are refused, while others tell the same for a time. */
  private double refused(
      int rank, double expectedMs, String organisation, boolean returning, Runnable telling) {
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      nowMs += 5;
      telling.run();
      refused += decide(rank, expectedMs, organisation, returning).isPresent() ? 1 : 0;
    }
    return refused / 400.0;
  }

  @Nested
  class UrgentRequestsThatAreLateAtOtherVms {

    private void tellLate() {
      tell(rank(80, 60, 50, Map.of()), rank(80, 0, 50, Map.of()));
    }

    @Test
    void makeLessUrgentOnesGiveWayWithinSecond() {
      refused(2, 100, "a", false, UrgentRequestsThatAreLateAtOtherVms.this::tellLate);
      assertThat(refused(2, 100, "a", false, this::tellLate)).isEqualTo(1.0);
    }

    @Test
    void areAdmittedWhileAnyVmAdmitsLessUrgentOnes() {
      tellLate();
      assertThat(decide(0, 2_000, "a", false)).isEmpty();
    }

    @Test
    void areRefusedOnceNoVmAdmitsLessUrgentOnes() {
      Runnable none = () -> tell(rank(80, 60, 50, Map.of()), rank(80, 0, LONG_AGO_MS, Map.of()));
      none.run();
      assertThat(decide(0, 2_000, "a", false)).isEmpty();
      refused(0, 100, "a", false, none);
      assertThat(decide(0, 2_000, "a", false)).hasValue("too-late");
      assertThat(decide(0, 100, "a", false)).isEmpty();
    }

    @Test
    void letLessUrgentOnesInAgainWhenTheyAreInTime() {
      refused(2, 100, "a", false, this::tellLate);
      Runnable calm = () -> tell(rank(80, 0, 50, Map.of()), rank(80, 0, LONG_AGO_MS, Map.of()));
      refused(2, 100, "a", false, calm);
      assertThat(refused(2, 100, "a", false, calm)).isEqualTo(0.0);
    }

    @Test
    void areBorneWhileTheyAreFew() {
      Runnable few = () -> tell(rank(80, 4, 50, Map.of()), rank(80, 0, 50, Map.of()));
      assertThat(refused(2, 100, "a", false, few)).isEqualTo(0.0);
    }
  }

  @Nested
  class OneOrganisationAtManyTimesItsUsual {

    private void tellHot() {
      Map<String, Double> work = Map.of("hot", 900.0, "b", 100.0, "c", 100.0, "d", 100.0);
      tell(rank(80, 16, 50, work), rank(0, 0, LONG_AGO_MS, Map.of()));
    }

    @Test
    void givesWayBeforeTheOthers() {
      refused(0, 100, "b", false, this::tellHot);
      assertThat(refused(0, 100, "hot", false, this::tellHot)).isWithin(0.1).of(0.29);
      assertThat(refused(0, 100, "b", false, this::tellHot)).isEqualTo(0.0);
    }

    @Test
    void isServedWhileThereIsRoom() {
      Map<String, Double> work = Map.of("hot", 900.0, "b", 100.0);
      Runnable room = () -> tell(rank(80, 0, 50, work), rank(80, 0, 50, Map.of()));
      assertThat(refused(0, 100, "hot", false, room)).isEqualTo(0.0);
    }

    @Test
    void losesFewerOfTheRequestsThatComeBack() {
      refused(0, 100, "b", false, this::tellHot);
      double fresh = refused(0, 100, "hot", false, this::tellHot);
      assertThat(refused(0, 100, "hot", true, this::tellHot)).isLessThan(0.6 * fresh);
    }
  }

  @Nested
  class WithoutTheView {

    @Test
    void thisVmDecidesByItsOwnRequestsOnceOthersHadTheTimeToTell() {
      assertThat(decide(0, 2_000, "a", false)).isEmpty();
      nowMs += 2_000;
      assertThat(decide(0, 2_000, "a", false)).hasValue("too-late");
      assertThat(decide(2, 100, "a", false)).hasValue("urgent-first");
    }

    @Test
    void anOldViewIsNotUsed() {
      tell(rank(80, 60, 50, Map.of()), rank(80, 0, 50, Map.of()));
      decide(0, 2_000, "a", false);
      nowMs += 2_000;
      assertThat(decide(0, 2_000, "a", false)).hasValue("too-late");
    }
  }

  @Test
  void fewVmsTellEachOtherNothing() {
    SharedPressure few = new SharedPressure(() -> nowMs, () -> 9);
    few.onRequest(SERVICE, 0, "a", 100, true);
    assertThat(few.own()).isEmpty();
  }

  @Test
  void vmsTellEachOtherNothingWhileAllAreInTime() {
    pressure.onRequest(SERVICE, 0, "a", 100, false);
    assertThat(pressure.own()).isEmpty();
    pressure.onRequest(SERVICE, 0, "a", 100, true);
    assertThat(pressure.own()).isNotEmpty();
  }

  @Test
  void vmsTellTheHeaviestOrganisationsByName() {
    for (int i = 0; i < 8; i++) {
      pressure.onRequest(SERVICE, 0, "o" + i, 100 * (i + 1), true);
    }
    PressureDemand.Rank told = pressure.own().get(0).ranks().get(0);
    assertThat(told.work().keySet()).containsExactly("o7", "o6", "o5", "o4");
    assertThat(told.others()).isEqualTo(4);
    assertThat(told.otherWork()).isWithin(1).of(1_000);
  }

  @Test
  void callersThatComeBackHaveLessTimeLeft() {
    ReturningRequests returning = new ReturningRequests();
    assertThat(returning.isReturning("chat", 12_000)).isFalse();
    assertThat(returning.isReturning("chat", 11_990)).isFalse();
    assertThat(returning.isReturning("chat", 9_000)).isTrue();
    assertThat(returning.isReturning("tag", 3_000)).isFalse();
  }
}
