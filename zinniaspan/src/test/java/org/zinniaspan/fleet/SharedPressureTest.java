package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Test;

/**
 * Half of the engines crash while urgent requests increase. Ten or more and over a twelfth of the
 * requests of a kind must not get nothing within five seconds in which less urgent streams begin.
 */
class SharedPressureTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int VMS = 91;
  private static final int ENGINES = 63;
  private static final long BURST_MS = 5_000;

  @Test
  void refusesFewUrgentRequestsWhileLessUrgentStreamsBegin() {
    OverloadedFleet world = new OverloadedFleet(1, VMS, ENGINES, 6);
    world.sharesPressure = true;
    world.queueByRank();
    world.advance(4_000);
    world.resetTallies();
    world.burst(OverloadedFleet.CHAT, 3);
    world.burst(OverloadedFleet.FLAG, 2.2);
    world.crash(0.5);
    world.advance(BURST_MS);
    final int chats = world.tallies.get(OverloadedFleet.CHAT).asked;
    final int flags = world.tallies.get(OverloadedFleet.FLAG).asked;
    world.burstAll(1);
    world.advance(6_000);
    assertWithMessage("chat of: " + world.summary())
        .that(world.passedOver(OverloadedFleet.CHAT))
        .isAtMost(Math.max(9, chats / 12));
    assertWithMessage("flag of: " + world.summary())
        .that(world.passedOver(OverloadedFleet.FLAG))
        .isAtMost(Math.max(9, flags / 12));
  }
}
