package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RetryAllowanceTest {

  private final RetryAllowance allowance = new RetryAllowance(0.2);

  private int takeAll() {
    int taken = 0;
    while (allowance.tryTake()) {
      taken++;
    }
    return taken;
  }

  @Test
  void startsWithOneRetry() {
    assertThat(takeAll()).isEqualTo(1);
  }

  @Test
  void earnsOneRetryForFiveRequests() {
    takeAll();
    for (int i = 0; i < 5; i++) {
      allowance.onRequest();
    }
    assertThat(takeAll()).isEqualTo(1);
  }

  @Test
  void savesFewRetriesForOneBurstOfFailures() {
    for (int i = 0; i < 1_000; i++) {
      allowance.onRequest();
    }
    assertThat(takeAll()).isEqualTo(4);
  }
}
