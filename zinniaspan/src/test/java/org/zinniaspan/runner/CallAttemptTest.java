package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.membership.Member;
import org.zinniaspan.testkit.VirtualClock;

class CallAttemptTest {

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RunnerContext context =
      RunnerContext.of(new Member("vm-1", 1, "127.0.0.1:1", false), "zone-a").clock(clock);

  @Test
  void ignoresTicksBeforeItsStart() {
    ServiceCall call =
        new ServiceCall(
            "request-1",
            "organisation-1",
            new ServiceClass("charge", 0, 1_500, 0, 0, 0, true),
            "app",
            "POST",
            "/charge",
            Map.of(),
            new byte[0],
            Optional.of("key-1"),
            clock.nowMs());
    OutcomeCache outcomes = new OutcomeCache(clock, 20_000, 1_000);
    CallAttempt attempt =
        new CallAttempt(context, outcomes, new HashMap<>(), call, "key-1", clock.nowMs());
    clock.advance(5_000);
    attempt.tick();
    assertThat(attempt.result().isDone()).isFalse();
  }
}
