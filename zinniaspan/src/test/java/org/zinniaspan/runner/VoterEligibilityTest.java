package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VoterEligibilityTest {

  private static final long HORIZON_MS = SimulatedZone.SETTINGS.horizonMs();
  private static final long MAX_LIST_AGE_MS = SimulatedZone.SETTINGS.maxListAgeMs();
  private static final long NEVER = Long.MIN_VALUE / 2;
  private final VoterEligibility voter = new VoterEligibility("a", 1, SimulatedZone.SETTINGS);

  private static VoterList list(long revision, String... voters) {
    return new VoterList(revision, List.of(voters), false);
  }

  @BeforeEach
  void catchUpAfterHorizon() {
    voter.adopt(list(1, "a", "b", "c"), 0);
    voter.evaluate(HORIZON_MS + 1, HORIZON_MS + 1);
    assertThat(voter.mayVote()).isTrue();
  }

  @Nested
  class NewList {
    @Test
    void needsClaimsOfEveryEarlierMajority() {
      long nowMs = HORIZON_MS + 2;
      voter.adopt(list(2, "a", "b", "d"), nowMs);
      voter.recordReply("d", 1, true);
      voter.evaluate(nowMs, nowMs);
      assertThat(voter.mayVote()).isFalse();
      voter.recordReply("b", 1, true);
      voter.evaluate(nowMs, nowMs);
      assertThat(voter.mayVote()).isTrue();
    }

    @Test
    void ownClaimsAreIncompleteAfterTimeWithoutNews() {
      long nowMs = 2 * HORIZON_MS;
      voter.evaluate(NEVER, nowMs);
      voter.evaluate(nowMs, nowMs);
      voter.adopt(list(3, "a", "b", "d"), nowMs);
      assertThat(voter.isComplete()).isFalse();
    }
  }

  @Nested
  class WithoutNews {
    @Test
    void voterAbstainsUntilResumeDelayHasPassed() {
      long nowMs = HORIZON_MS + MAX_LIST_AGE_MS + 2;
      voter.evaluate(NEVER, nowMs);
      assertThat(voter.mayVote()).isFalse();
      voter.evaluate(nowMs, nowMs);
      assertThat(voter.mayVote()).isFalse();
      voter.evaluate(nowMs + 2_000, nowMs + 2_000);
      assertThat(voter.mayVote()).isTrue();
    }
  }
}
