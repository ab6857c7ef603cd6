package org.zinniaspan.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the scheduler of the engine stand-in step by step, without the thread that runs it. */
class EngineCoreTest {

  private static final EngineProfile PROFILE =
      new EngineProfile(2, 10, 1, 6_400, 1_000, 2_000, true);
  private final EngineCore core = new EngineCore(PROFILE, Set.of("model-a"));

  private static Generation generation(
      String prompt, int priority, int resumeFromToken, int answerTokens) {
    return new Generation(
        "model-a",
        prompt,
        PrefixCache.blockDigests(prompt),
        prompt.length() / 4,
        priority,
        resumeFromToken,
        answerTokens);
  }

  private double step() {
    double ms = core.beginStep();
    core.endStep();
    return ms;
  }

  @Nested
  class Batch {
    @Test
    void stepTimeGrowsWithTheBatchAndWithPromptTokensRead() {
      core.submit(generation("x".repeat(256), 0, 0, 5));
      assertThat(step()).isEqualTo(11 + 10.0);
      assertThat(step()).isEqualTo(11.0);
      core.submit(generation("y", 0, 0, 5));
      step();
      assertThat(step()).isEqualTo(12.0);
    }

    @Test
    void lowerPriorityNumberJoinsFirst() {
      final Sequence low = core.submit(generation("a", 3, 0, 5));
      final Sequence mid = core.submit(generation("b", 1, 0, 5));
      final Sequence high = core.submit(generation("c", 0, 0, 5));
      step();
      assertThat(high.ownTokens()).isEqualTo(1);
      assertThat(mid.ownTokens()).isEqualTo(1);
      assertThat(low.ownTokens()).isEqualTo(0);
    }

    @Test
    void stoppedAnswerGetsNoMoreTokensAndIsCountedAsCancelled() {
      Sequence sequence = core.submit(generation("a", 0, 0, 50));
      step();
      step();
      core.recordEnd(sequence, false, 100);
      step();
      assertThat(core.counts()).isEqualTo(new EngineCore.Counts(2, 0, 2, 0, 100));
    }

    @Test
    void resumedAnswerCountsOnlyItsOwnTokens() {
      final Sequence sequence = core.submit(generation("a", 0, 3, 5));
      step();
      step();
      step();
      core.recordEnd(sequence, true, 10);
      assertThat(core.counts()).isEqualTo(new EngineCore.Counts(2, 2, 0, 10, 0));
    }
  }

  @Nested
  class Cache {
    @Test
    void sharedBlocksAreCachedUntilEvicted() {
      PrefixCache cache = new PrefixCache(256);
      String shared = "s".repeat(512);
      assertThat(cache.matchAndInsert(PrefixCache.blockDigests(shared + "a".repeat(256))))
          .isEqualTo(0);
      assertThat(cache.matchAndInsert(PrefixCache.blockDigests(shared + "b".repeat(256))))
          .isEqualTo(128);
      cache.matchAndInsert(PrefixCache.blockDigests("z".repeat(1_024)));
      assertThat(cache.matchAndInsert(PrefixCache.blockDigests(shared))).isEqualTo(0);
    }
  }

  @Nested
  class LaggedLoad {
    @Test
    void laggedLoadIsAsOldAsTheReportLag() {
      core.recordLoad(0);
      core.submit(generation("a", 0, 0, 50));
      core.recordLoad(1_000);
      assertThat(core.laggedLoad(1_999).waiting()).isEqualTo(0);
      assertThat(core.laggedLoad(3_000).waiting()).isEqualTo(1);
    }
  }

  @Nested
  class Orders {
    @Test
    void oldFencingNumberIsRefused() {
      assertThat(core.applyOrder(7, Set.of("model-a", "model-b"))).isTrue();
      assertThat(core.applyOrder(6, Set.of("model-c"))).isFalse();
      assertThat(core.models()).containsExactly("model-a", "model-b");
    }
  }
}
