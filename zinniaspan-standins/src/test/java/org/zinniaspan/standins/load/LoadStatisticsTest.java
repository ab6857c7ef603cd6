package org.zinniaspan.standins.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.engine.EngineModel;

/** The requests that the load command draws, and how it counts their ends. */
class LoadStatisticsTest {

  private static final EngineModel ENGINE = new EngineModel(8, 10, 1, 5_000, 20_000, 2_000, false);
  private static final Workload FIRM = Workload.placaLimpa();

  private static Demand demand(Optional<Demand.Burst> burst) {
    return new Demand(7, 50, 60_000, 10, burst);
  }

  private static long count(List<Arrival> arrivals, String serviceClass) {
    return arrivals.stream().filter(a -> a.kind().serviceClass().equals(serviceClass)).count();
  }

  private static CallerResult result(int status, String outcome, boolean complete, int tokens) {
    return new CallerResult(
        status, outcome, "engine-1", Optional.empty(), "", complete, tokens, 100, 1_000);
  }

  @Nested
  class Requests {
    @Test
    void sameSeedDrawsTheSameRequests() {
      assertThat(Arrivals.draw(FIRM, demand(Optional.empty())))
          .isEqualTo(Arrivals.draw(FIRM, demand(Optional.empty())));
    }

    @Test
    void burstAddsRequestsOfItsClassAlone() {
      List<Arrival> calm = Arrivals.draw(FIRM, demand(Optional.empty()));
      Demand.Burst burst = new Demand.Burst("dossier", 5);
      List<Arrival> busy = Arrivals.draw(FIRM, demand(Optional.of(burst)));
      assertThat(count(busy, "dossier")).isGreaterThan(2 * count(calm, "dossier") - 20);
      assertThat(count(busy, "counter-question")).isEqualTo(count(calm, "counter-question"));
    }

    @Test
    void sharesOfAllFirmsAddUpToOne() {
      for (Workload firm : List.of(Workload.placaLimpa(), Workload.hebergeArmor())) {
        double sum = firm.kinds().stream().mapToDouble(RequestKind::share).sum();
        assertThat(sum).isWithin(1e-9).of(1);
      }
    }

    @Test
    void meanWorkOfDrawnRequestsAgreesWithTheCapacity() {
      List<Arrival> arrivals =
          Arrivals.draw(FIRM, new Demand(3, 100, 600_000, 10, Optional.empty()));
      double drawnMs =
          arrivals.stream().mapToDouble(a -> a.kind().engineMs(ENGINE, a.tokens())).sum();
      double expectedMs = arrivals.size() * 1_000 / FIRM.capacityPerSecond(ENGINE, 1);
      assertThat(drawnMs / expectedMs).isWithin(0.1).of(1);
    }

    @Test
    void organisationsOfOneClassShareTheirPrefix() {
      RequestKind kind = FIRM.kinds().get(0);
      String one = Prompts.of(new Arrival(0, kind, 1, 1, 9), kind.chat().get());
      String two = Prompts.of(new Arrival(0, kind, 1, 2, 9), kind.chat().get());
      String other = Prompts.of(new Arrival(0, kind, 2, 3, 9), kind.chat().get());
      assertThat(one.substring(0, 512)).isEqualTo(two.substring(0, 512));
      assertThat(one.substring(0, 512)).isNotEqualTo(other.substring(0, 512));
      assertThat(one).isNotEqualTo(two);
    }
  }

  @Nested
  class Ends {
    private final Target target = new Target(500, 37, 0);
    private final ClassStats stats = new ClassStats();

    private void ended(CallerResult result) {
      stats.ended(result, target.isMet(result, 0), 0, 5);
    }

    @Test
    void everyOfferedRequestIsCountedOnce() {
      ended(result(200, "answered", true, 50));
      ended(result(200, "answered", true, 10));
      ended(result(200, "answered", false, 50));
      ended(result(429, "not-run", true, 0));
      ended(result(0, "", false, 0));
      ClassStats.Row row = stats.row("counter-question");
      assertThat(row.offered()).isEqualTo(5);
      assertThat(row.attained()).isEqualTo(1);
      assertThat(row.late()).isEqualTo(1);
      assertThat(row.refused()).isEqualTo(1);
      assertThat(row.unknown()).isEqualTo(2);
      assertThat(row.attainment()).isEqualTo(0.2);
      assertThat(stats.wholeTokens()).isEqualTo(60);
    }

    @Test
    void timeBeforeTheLastAttemptCounts() {
      CallerResult answer = result(200, "answered", true, 50);
      assertThat(target.isMet(answer, 400)).isTrue();
      assertThat(target.isMet(answer, 401)).isFalse();
    }
  }

  @Nested
  class Policies {
    @Test
    void nameAndFlagsAreTakenApartAtTheFirstEqualsSign() {
      assertThat(Policy.parse("a=--x 1 --y b=c"))
          .isEqualTo(new Policy("a", List.of("--x", "1", "--y", "b=c")));
      assertThat(Policy.parse("plain").flags()).isEmpty();
    }
  }
}
