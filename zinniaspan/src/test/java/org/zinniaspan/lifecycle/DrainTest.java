package org.zinniaspan.lifecycle;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.zinniaspan.testkit.VirtualClock;

class DrainTest {

  private static final long GRACE_MS = 3_000;

  private final VirtualClock clock = new VirtualClock(0);
  private final Drain drain = new Drain(clock, GRACE_MS);

  private boolean isDrainedAfter(long ms) {
    clock.advance(ms);
    drain.tick();
    return drain.whenDrained().isDone();
  }

  @Test
  void requestsAreAdmittedDuringTheGracePeriodOnly() {
    drain.begin();
    assertThat(drain.hasBegun()).isTrue();
    assertThat(drain.tryStartRequest()).isTrue();
    clock.advance(GRACE_MS);
    assertThat(drain.tryStartRequest()).isFalse();
  }

  @Test
  void waitsForTheLastRequestWithoutTimeLimit() {
    drain.tryStartRequest();
    drain.begin();
    assertThat(isDrainedAfter(3_600_000)).isFalse();
    drain.endRequest();
    assertThat(drain.whenDrained().isDone()).isTrue();
  }

  @Test
  void idleProcessWaitsForTheGracePeriod() {
    drain.begin();
    assertThat(isDrainedAfter(GRACE_MS - 1)).isFalse();
    assertThat(isDrainedAfter(1)).isTrue();
  }

  @Test
  void waitsForConditions() {
    AtomicBoolean idle = new AtomicBoolean();
    drain.addCondition(idle::get);
    drain.begin();
    assertThat(isDrainedAfter(GRACE_MS)).isFalse();
    idle.set(true);
    assertThat(isDrainedAfter(50)).isTrue();
  }

  @Test
  void secondBeginDoesNotRestartTheGracePeriod() {
    drain.begin();
    clock.advance(GRACE_MS - 1);
    drain.begin();
    assertThat(isDrainedAfter(1)).isTrue();
  }
}
