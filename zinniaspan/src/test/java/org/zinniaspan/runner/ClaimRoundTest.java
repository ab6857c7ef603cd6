package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.peer.proto.ClaimVote;
import org.zinniaspan.peer.proto.ClaimVote.Result;
import org.zinniaspan.peer.proto.VoterProcess;

class ClaimRoundTest {

  private static final long VALID_MS = 1_000;
  private final VoterList list = new VoterList(7, List.of("a", "b", "c"), false);
  private final ClaimRound round = new ClaimRound("x#1", list, VALID_MS, 0);
  private final int ask = round.recordRequest(0);

  private ClaimVote.Builder accepted() {
    return ClaimVote.newBuilder().setResult(Result.ACCEPTED).setListRevision(7).setAsk(ask);
  }

  @Nested
  class Majority {
    @Test
    void needsTwoOfThree() {
      round.addVote("a", 1, accepted().build());
      assertThat(round.hasMajority(10)).isFalse();
      round.addVote("b", 1, accepted().build());
      assertThat(round.hasMajority(10)).isTrue();
    }

    @Test
    void endsWhenVotesExpire() {
      round.addVote("a", 1, accepted().build());
      round.addVote("b", 1, accepted().build());
      assertThat(round.hasMajority(VALID_MS + 1)).isFalse();
    }

    @Test
    void doesNotCountTheVoteOfReplacedProcess() {
      VoterProcess successor = VoterProcess.newBuilder().setVm("a").setIncarnation(2).build();
      round.addVote("a", 1, accepted().build());
      round.addVote("b", 1, accepted().addProcesses(successor).build());
      assertThat(round.hasMajority(10)).isFalse();
    }

    @Test
    void doesNotCountVotesOfAnotherList() {
      round.addVote("a", 1, accepted().build());
      round.addVote("b", 1, accepted().setListRevision(8).build());
      assertThat(round.hasMajority(10)).isFalse();
    }
  }
}
