package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ServiceRetryBudgetTest {

  private final ServiceRetryBudget budget = new ServiceRetryBudget(0.2);

  private int acquireAll() {
    int taken = 0;
    while (budget.tryAcquire()) {
      taken++;
    }
    return taken;
  }

  @Test
  void startsWithOneRetry() {
    assertThat(acquireAll()).isEqualTo(1);
  }

  @Test
  void earnsOneRetryForFiveRequests() {
    acquireAll();
    for (int i = 0; i < 5; i++) {
      budget.onRequest();
    }
    assertThat(acquireAll()).isEqualTo(1);
  }

  @Test
  void limitsSavedRetries() {
    for (int i = 0; i < 1_000; i++) {
      budget.onRequest();
    }
    assertThat(acquireAll()).isEqualTo(4);
  }
}
