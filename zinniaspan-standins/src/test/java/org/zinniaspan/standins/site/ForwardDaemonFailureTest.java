package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A daemon whose event loop had failed lived on, so that nothing restarted it. */
@Timeout(20)
class ForwardDaemonFailureTest {

  @RegisterExtension private final ForwardDaemonFixture fixture = new ForwardDaemonFixture();

  @Test
  void endsTheWaitForItsShutdown() {
    fixture.failsAtNextTick = true;
    assertThat(fixture.daemon.awaitShutdown()).isFalse();
  }

  @Test
  void isNotReportedAfterPlannedStops() {
    fixture.daemon.shutdown();
    assertThat(fixture.daemon.awaitShutdown()).isTrue();
  }
}
