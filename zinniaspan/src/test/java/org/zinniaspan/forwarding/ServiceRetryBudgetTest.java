package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceRetryBudgetTest {

  private static final int WINDOW_MS = 10_000;

  private long nowMs = 100_000;

  private static PlatformBounds bounds(long slack) {
    return new PlatformBounds(2_500, 5_000, 2_500, 1_200, 8_000, 0.2, slack, WINDOW_MS);
  }

  private ServiceRetryBudget budget(long slack, int vms) {
    return new ServiceRetryBudget(() -> nowMs, bounds(slack), () -> vms);
  }

  private static int acquireAll(ServiceRetryBudget budget) {
    int taken = 0;
    while (budget.tryAcquire()) {
      taken++;
    }
    return taken;
  }

  @Test
  void startsWithTheShareOfTheSlack() {
    assertThat(acquireAll(budget(54, 7))).isEqualTo(1);
    assertThat(acquireAll(budget(54, 100))).isEqualTo(0);
  }

  @Test
  void allowsOneRetryForFiveRequests() {
    ServiceRetryBudget budget = budget(54, 7);
    acquireAll(budget);
    for (int i = 0; i < 5; i++) {
      budget.onRequest();
    }
    assertThat(acquireAll(budget)).isEqualTo(1);
  }

  @Test
  void forgetsRequestsAndRetriesAfterTheWindow() {
    ServiceRetryBudget budget = budget(54, 7);
    for (int i = 0; i < 1_000; i++) {
      budget.onRequest();
    }
    nowMs += WINDOW_MS + 1;
    assertThat(acquireAll(budget)).isEqualTo(1);
    nowMs += WINDOW_MS + 1;
    assertThat(acquireAll(budget)).isEqualTo(1);
  }

  @Nested
  class LossOfAnEndpointWithRequestsOfAllVmsInFlight {

    @Test
    void keepsTheSumOfAllVmsWithinRatioAndSlack() {
      assertSumWithinBudget(7, 54);
      assertSumWithinBudget(95, 230);
      assertSumWithinBudget(371, 782);
    }

    private void assertSumWithinBudget(int vms, long slack) {
      Random random = new Random(vms);
      List<ServiceRetryBudget> budgets = new ArrayList<>();
      for (int i = 0; i < vms; i++) {
        budgets.add(budget(slack, 1));
      }
      List<Long> requestTimesMs = new ArrayList<>();
      List<Long> retryTimesMs = new ArrayList<>();
      long endMs = nowMs + 3 * WINDOW_MS;
      for (; nowMs < endMs; nowMs += 10) {
        boolean lost = nowMs > endMs - WINDOW_MS;
        for (ServiceRetryBudget budget : budgets) {
          if (random.nextInt(100) == 0) {
            budget.onRequest();
            requestTimesMs.add(nowMs);
          }
          if (lost && budget.tryAcquire()) {
            retryTimesMs.add(nowMs);
          }
        }
      }
      for (long startMs : retryTimesMs) {
        long retries = countIn(retryTimesMs, startMs);
        double allowed = 0.2 * countIn(requestTimesMs, startMs) + slack;
        assertWithMessage("retries of %s VMs", vms).that((double) retries).isAtMost(allowed);
      }
    }

    private long countIn(List<Long> timesMs, long startMs) {
      return timesMs.stream().filter(t -> t >= startMs && t <= startMs + WINDOW_MS).count();
    }
  }
}
