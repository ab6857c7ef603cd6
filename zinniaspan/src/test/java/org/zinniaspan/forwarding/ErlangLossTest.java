package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ErlangLossTest {

  /** Guards against a number of slots with which the loop takes minutes, or never ends. */
  @Test
  @Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void takesLittleTimeForAnyNumberOfSlots() {
    double bounded = ErlangLoss.highestRate(ListedEndpoint.MAX_SLOTS, 50, 1);
    assertThat(ErlangLoss.highestRate(1_312_754_386, 50, 1)).isEqualTo(bounded);
    assertThat(ErlangLoss.highestRate(Integer.MAX_VALUE, 50, 1)).isEqualTo(bounded);
    assertThat(ErlangLoss.rejectedShare(1, Integer.MAX_VALUE)).isWithin(1e-9).of(0);
  }

  /** Guards against a rejection limit with which the loop takes minutes, or never ends. */
  @Test
  @Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void takesLittleTimeForAnyRejectionLimit() {
    double bounded = Poisson.highestMean(1_000, 0.005);
    assertThat(Poisson.highestMean(Integer.MAX_VALUE, 0.005)).isEqualTo(bounded);
    assertThat(Poisson.exceeds(Integer.MAX_VALUE, 1)).isWithin(1e-9).of(0);
  }
}
