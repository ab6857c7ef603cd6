package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StopPlanTest {

  private static final long GRACE_MS = 8_000;

  private long nowMs = 1_000;
  private final StopPlan plan = new StopPlan(() -> nowMs, GRACE_MS);

  @Test
  void servesUntilTheBalancerHasNoticed() {
    plan.stop();
    nowMs += 2_000;
    assertThat(plan.refusesNew(nowMs)).isFalse();
    assertThat(plan.ends(nowMs, 0)).isFalse();
    nowMs += 1_000;
    assertThat(plan.refusesNew(nowMs)).isTrue();
  }

  @Test
  void endsOnceNoRequestIsLeft() {
    plan.stop();
    nowMs += 3_000;
    assertThat(plan.ends(nowMs, 1)).isFalse();
    assertThat(plan.ends(nowMs, 0)).isTrue();
  }

  @Test
  void endsBeforeItsTimeIsOver() {
    plan.stop();
    nowMs += GRACE_MS - 300;
    assertThat(plan.ends(nowMs, 5)).isTrue();
  }

  @Test
  void doesNothingBeforeTheSignal() {
    nowMs += 100_000;
    assertThat(plan.refusesNew(nowMs)).isFalse();
    assertThat(plan.ends(nowMs, 0)).isFalse();
  }
}
