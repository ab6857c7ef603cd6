package org.zinniaspan.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WeightLoadLimiterTest {

  private static final long MINUTE_MS = 60_000;

  @Test
  void loadsNeverExceedTheRate() {
    WeightLoadLimiter limiter = new WeightLoadLimiter(30_000, MINUTE_MS, 0, 0);
    int loadedMb = 0;
    for (long now = 0; now < 10 * MINUTE_MS; now += 100) {
      loadedMb += limiter.tryAcquire(7_000, now) ? 7_000 : 0;
    }
    assertThat(loadedMb).isAtMost(10 * 30_000 + 7_000);
    assertThat(loadedMb).isAtLeast(9 * 30_000);
  }

  @Test
  void initialDebtDelaysTheFirstLoad() {
    WeightLoadLimiter limiter = new WeightLoadLimiter(30_000, MINUTE_MS, 15_000, 0);
    assertThat(limiter.tryAcquire(1, 29_999)).isFalse();
    assertThat(limiter.tryAcquire(1, 30_000)).isTrue();
  }
}
