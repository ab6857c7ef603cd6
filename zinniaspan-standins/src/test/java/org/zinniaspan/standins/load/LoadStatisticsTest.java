package org.zinniaspan.standins.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.engine.EngineProfile;

/** Tests the arrivals of the load generator, the counting of outcomes and the policy flags. */
class LoadStatisticsTest {

  private static final EngineProfile ENGINE =
      new EngineProfile(8, 10, 1, 5_000, 20_000, 2_000, false);
  private static final Workload WORKLOAD = Workload.placaLimpa();

  private static LoadProfile profile(Optional<LoadProfile.Burst> burst) {
    return new LoadProfile(7, 50, 60_000, 10, burst);
  }

  private static long count(List<Arrival> arrivals, String serviceClass) {
    return arrivals.stream().filter(a -> a.kind().serviceClass().equals(serviceClass)).count();
  }

  private static CallerResult result(int status, String outcome, boolean complete, int tokens) {
    return new CallerResult(
        status, outcome, "engine-1", Optional.empty(), "", complete, tokens, 100, 1_000);
  }

  @Nested
  class GeneratedArrivals {
    @Test
    void sameSeedGeneratesTheSameArrivals() {
      assertThat(ArrivalGenerator.generate(WORKLOAD, profile(Optional.empty())))
          .isEqualTo(ArrivalGenerator.generate(WORKLOAD, profile(Optional.empty())));
    }

    @Test
    void burstAddsRequestsOfItsClassOnly() {
      List<Arrival> steady = ArrivalGenerator.generate(WORKLOAD, profile(Optional.empty()));
      LoadProfile.Burst burst = new LoadProfile.Burst("dossier", 5);
      List<Arrival> withBurst = ArrivalGenerator.generate(WORKLOAD, profile(Optional.of(burst)));
      assertThat(count(withBurst, "dossier")).isGreaterThan(2 * count(steady, "dossier") - 20);
      assertThat(count(withBurst, "counter-question")).isEqualTo(count(steady, "counter-question"));
    }

    @Test
    void sharesOfEachWorkloadAddUpToOne() {
      for (Workload workload : List.of(Workload.placaLimpa(), Workload.hebergeArmor())) {
        double sum = workload.kinds().stream().mapToDouble(RequestKind::share).sum();
        assertThat(sum).isWithin(1e-9).of(1);
      }
    }

    @Test
    void meanEngineTimeOfArrivalsAgreesWithTheCapacity() {
      List<Arrival> arrivals =
          ArrivalGenerator.generate(
              WORKLOAD, new LoadProfile(3, 100, 600_000, 10, Optional.empty()));
      double drawnMs =
          arrivals.stream().mapToDouble(a -> a.kind().engineMs(ENGINE, a.tokens())).sum();
      double expectedMs = arrivals.size() * 1_000 / WORKLOAD.capacityPerSecond(ENGINE, 1);
      assertThat(drawnMs / expectedMs).isWithin(0.1).of(1);
    }

    @Test
    void requestsOfOneOrganisationAndClassShareTheirPrefix() {
      RequestKind kind = WORKLOAD.kinds().get(0);
      String one = Prompts.of(new Arrival(0, kind, 1, 1, 9), kind.chat().get());
      String two = Prompts.of(new Arrival(0, kind, 1, 2, 9), kind.chat().get());
      String other = Prompts.of(new Arrival(0, kind, 2, 3, 9), kind.chat().get());
      assertThat(one.substring(0, 512)).isEqualTo(two.substring(0, 512));
      assertThat(one.substring(0, 512)).isNotEqualTo(other.substring(0, 512));
      assertThat(one).isNotEqualTo(two);
    }
  }

  @Nested
  class Outcomes {
    private final LatencyTargets targets = new LatencyTargets(500, 37, 0);
    private final ClassStats stats = new ClassStats();

    private void recordEnd(CallerResult result) {
      stats.recordEnd(result, targets.areMet(result, 0), 0, 5);
    }

    @Test
    void everyOfferedRequestIsCountedOnce() {
      recordEnd(result(200, "answered", true, 50));
      recordEnd(result(200, "answered", true, 10));
      recordEnd(result(200, "answered", false, 50));
      recordEnd(result(429, "not-run", true, 0));
      recordEnd(result(0, "", false, 0));
      ClassStats.Row row = stats.toRow("counter-question");
      assertThat(row.offered()).isEqualTo(5);
      assertThat(row.attained()).isEqualTo(1);
      assertThat(row.late()).isEqualTo(1);
      assertThat(row.refused()).isEqualTo(1);
      assertThat(row.unknown()).isEqualTo(2);
      assertThat(row.attainment()).isEqualTo(0.2);
      assertThat(stats.answeredTokens()).isEqualTo(60);
    }

    @Test
    void timeBeforeTheLastAttemptCounts() {
      CallerResult answer = result(200, "answered", true, 50);
      assertThat(targets.areMet(answer, 400)).isTrue();
      assertThat(targets.areMet(answer, 401)).isFalse();
    }
  }

  @Nested
  class Policies {
    @Test
    void nameAndFlagsAreSplitAtTheFirstEqualsSign() {
      assertThat(EntryPolicy.parse("a=--x 1 --y b=c"))
          .isEqualTo(new EntryPolicy("a", List.of("--x", "1", "--y", "b=c")));
      assertThat(EntryPolicy.parse("plain").flags()).isEmpty();
    }
  }
}
