package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TableFreshnessTest {

  private static final long MAX_AGE_MS = 4_600;

  private long steadyMs = 1_000;
  private long timeOfDayMs = 900_000;
  private final TableFreshness freshness =
      new TableFreshness(() -> steadyMs, () -> timeOfDayMs, MAX_AGE_MS);

  private void advance(long ms) {
    steadyMs += ms;
    timeOfDayMs += ms;
  }

  @Test
  void isFalseBeforeTheFirstConfirmation() {
    assertThat(freshness.isFresh()).isFalse();
  }

  @Test
  void agesFromTheStartOfTheRead() {
    TableFreshness.ReadStart started = freshness.readStart();
    advance(800);
    freshness.confirm(started);
    advance(MAX_AGE_MS - 800);
    assertThat(freshness.isFresh()).isTrue();
    advance(1);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Test
  void endsWhenTheVmWasSuspended() {
    freshness.confirm(freshness.readStart());
    timeOfDayMs += 4_000;
    assertThat(freshness.isFresh()).isFalse();
  }

  @Test
  void endsWhenTheTimeOfDayIsSteppedAndReturnsWithTheNextRead() {
    freshness.confirm(freshness.readStart());
    timeOfDayMs -= 2_400;
    assertThat(freshness.clocksDisagree()).isTrue();
    assertThat(freshness.isFresh()).isFalse();
    freshness.confirm(freshness.readStart());
    assertThat(freshness.isFresh()).isTrue();
  }

  @Test
  void isNotMadeOlderByAnEarlierReadThatCompletesLate() {
    TableFreshness.ReadStart early = freshness.readStart();
    advance(1_000);
    freshness.confirm(freshness.readStart());
    freshness.confirm(early);
    assertThat(freshness.ageMs()).isEqualTo(0);
  }
}
