package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ShutdownSequenceTest {

  private static final long GRACE_MS = 8_000;

  private long nowMs = 1_000;
  private final ShutdownSequence sequence = new ShutdownSequence(() -> nowMs, GRACE_MS);

  @Test
  void servesDuringTheNoticePeriod() {
    sequence.start();
    nowMs += 2_000;
    assertThat(sequence.refusesNewRequests(nowMs)).isFalse();
    assertThat(sequence.shouldExit(nowMs, 0)).isFalse();
    nowMs += 1_000;
    assertThat(sequence.refusesNewRequests(nowMs)).isTrue();
  }

  @Test
  void exitsOnceNoRequestIsInFlight() {
    sequence.start();
    nowMs += 3_000;
    assertThat(sequence.shouldExit(nowMs, 1)).isFalse();
    assertThat(sequence.shouldExit(nowMs, 0)).isTrue();
  }

  @Test
  void exitsBeforeTheGracePeriodEnds() {
    sequence.start();
    nowMs += GRACE_MS - 300;
    assertThat(sequence.shouldExit(nowMs, 5)).isTrue();
  }

  @Test
  void doesNothingBeforeShutdownStarts() {
    nowMs += 100_000;
    assertThat(sequence.refusesNewRequests(nowMs)).isFalse();
    assertThat(sequence.shouldExit(nowMs, 0)).isFalse();
  }
}
