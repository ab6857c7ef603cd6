package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TableTrustTest {

  private static final long MAX_AGE_MS = 4_600;

  private long steadyMs = 1_000;
  private long timeOfDayMs = 900_000;
  private final TableTrust trust = new TableTrust(() -> steadyMs, () -> timeOfDayMs, MAX_AGE_MS);

  private void pass(long ms) {
    steadyMs += ms;
    timeOfDayMs += ms;
  }

  @Test
  void isAbsentBeforeTheFirstConfirmation() {
    assertThat(trust.isTrusted()).isFalse();
  }

  @Test
  void agesFromTheSendingOfTheRead() {
    TableTrust.Sent sent = trust.now();
    pass(800);
    trust.confirm(sent);
    pass(MAX_AGE_MS - 800);
    assertThat(trust.isTrusted()).isTrue();
    pass(1);
    assertThat(trust.isTrusted()).isFalse();
  }

  @Test
  void endsWhenTheVmWasSuspendedAndTheSteadyClockStoodStill() {
    trust.confirm(trust.now());
    timeOfDayMs += 4_000;
    assertThat(trust.isTrusted()).isFalse();
  }

  @Test
  void endsWhenTheTimeOfDayIsSteppedAndReturnsWithTheNextRead() {
    trust.confirm(trust.now());
    timeOfDayMs -= 2_400;
    assertThat(trust.clocksDisagree()).isTrue();
    assertThat(trust.isTrusted()).isFalse();
    trust.confirm(trust.now());
    assertThat(trust.isTrusted()).isTrue();
  }

  @Test
  void isNotMadeOlderByAnEarlierReadThatIsAnsweredLate() {
    TableTrust.Sent early = trust.now();
    pass(1_000);
    trust.confirm(trust.now());
    trust.confirm(early);
    assertThat(trust.ageMs()).isEqualTo(0);
  }
}
