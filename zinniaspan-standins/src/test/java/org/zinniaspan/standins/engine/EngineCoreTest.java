package org.zinniaspan.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The engine stand-in's scheduler, step by step without its thread. */
class EngineCoreTest {

  private static final EngineModel MODEL = new EngineModel(2, 10, 1, 6_400, 1_000, 2_000, true);
  private final EngineCore core = new EngineCore(MODEL, Set.of("model-a"));

  private static Generation generation(String prompt, int priority, int resumeFrom, int length) {
    return new Generation(
        "model-a",
        prompt,
        PrefixCache.blocksOf(prompt),
        prompt.length() / 4,
        priority,
        resumeFrom,
        length);
  }

  private double step() {
    double ms = core.beginStep();
    core.endStep();
    return ms;
  }

  @Nested
  class Batch {
    @Test
    void paceFallsWithTheBatchAndWithPromptTokensRead() {
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
      assertThat(high.own()).isEqualTo(1);
      assertThat(mid.own()).isEqualTo(1);
      assertThat(low.own()).isEqualTo(0);
    }

    @Test
    void stoppedAnswerMakesNoMoreTokensAndIsCountedAsCancelled() {
      Sequence sequence = core.submit(generation("a", 0, 0, 50));
      step();
      step();
      core.ended(sequence, false, 100);
      step();
      assertThat(core.counts()).isEqualTo(new EngineCore.Counts(2, 0, 2, 0, 100));
    }

    @Test
    void resumedAnswerCountsOnlyItsOwnTokens() {
      final Sequence sequence = core.submit(generation("a", 0, 3, 5));
      step();
      step();
      step();
      core.ended(sequence, true, 10);
      assertThat(core.counts()).isEqualTo(new EngineCore.Counts(2, 2, 0, 10, 0));
    }
  }

  @Nested
  class Cache {
    @Test
    void sharedBlocksAreReadOnceUntilOthersPushThemOut() {
      PrefixCache cache = new PrefixCache(256);
      String shared = "s".repeat(512);
      assertThat(cache.use(PrefixCache.blocksOf(shared + "a".repeat(256)))).isEqualTo(0);
      assertThat(cache.use(PrefixCache.blocksOf(shared + "b".repeat(256)))).isEqualTo(128);
      cache.use(PrefixCache.blocksOf("z".repeat(1_024)));
      assertThat(cache.use(PrefixCache.blocksOf(shared))).isEqualTo(0);
    }
  }

  @Nested
  class Reports {
    @Test
    void reportShowsTheLoadOfTheLagBefore() {
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
      assertThat(core.order(7, Set.of("model-a", "model-b"))).isTrue();
      assertThat(core.order(6, Set.of("model-c"))).isFalse();
      assertThat(core.models()).containsExactly("model-a", "model-b");
    }
  }
}
