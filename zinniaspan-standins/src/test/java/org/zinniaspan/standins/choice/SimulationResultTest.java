package org.zinniaspan.standins.choice;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.zinniaspan.inventory.ServiceClass;

class SimulationResultTest {

  private static final ServiceClass CHAT = new ServiceClass("chat", 0, 1_000, 0, 0, 64, false);

  @Test
  void countsLateRequestsOnlyIfTheyWereAnswered() {
    SimulationResult result = new SimulationResult();
    for (int i = 0; i < 3; i++) {
      result.recordArrival(CHAT);
    }
    result.recordFirstToken(CHAT, 500);
    result.recordEnd(CHAT, true, 500);
    result.recordFirstToken(CHAT, 2_000);
    result.recordEnd(CHAT, false, 2_000);
    result.recordFirstToken(CHAT, 2_000);
    result.recordEnd(CHAT, true, 2_000);
    assertThat(result.goodput()).isWithin(0.1).of(33.3);
    assertThat(result.attainment("chat")).isWithin(0.1).of(33.3);
  }
}
