package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineRankMapperTest {

  @Nested
  class WithTwoOrganisationRanksAndThreeRouteRanks {

    private final EngineRankMapper mapper =
        new EngineRankMapper(List.of(1, 0, 1), List.of(0, 2, 1, 2));

    @Test
    void putsTheOrganisationBeforeTheRoute() {
      assertThat(mapper.rank(Optional.of(0), 2)).isLessThan(mapper.rank(Optional.of(1), 0));
    }

    @Test
    void keepsRoutesOfOneOrganisationApart() {
      assertThat(mapper.rank(Optional.of(1), 0)).isLessThan(mapper.rank(Optional.of(1), 1));
      assertThat(mapper.rank(Optional.of(1), 1)).isLessThan(mapper.rank(Optional.of(1), 2));
    }

    @Test
    void putsOrganisationsWithoutRankLast() {
      assertThat(mapper.rank(Optional.empty(), 0)).isGreaterThan(mapper.rank(Optional.of(1), 2));
    }
  }

  @Nested
  class WithMoreCombinationsThanEngineRanks {

    private final EngineRankMapper mapper =
        new EngineRankMapper(List.of(0, 1, 2, 3), List.of(0, 1, 2, 3, 4, 5, 6));

    @Test
    void staysWithinTheRanksOfEngines() {
      assertThat(mapper.rank(Optional.of(0), 0)).isEqualTo(0);
      assertThat(mapper.rank(Optional.empty(), 6)).isEqualTo(9);
    }

    @Test
    void neverPutsTheLessUrgentFirst() {
      int last = 0;
      for (int organisation = 0; organisation < 4; organisation++) {
        for (int route = 0; route < 7; route++) {
          int rank = mapper.rank(Optional.of(organisation), route);
          assertThat(rank).isAtLeast(last);
          last = rank;
        }
      }
    }
  }
}
