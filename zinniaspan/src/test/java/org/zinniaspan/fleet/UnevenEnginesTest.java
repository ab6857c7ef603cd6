package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Engines of one service differ in speed. If VMs choose them by one speed for all, streams with
 * strict targets wait too long at the slow ones. Most VMs see an engine too seldom to know its
 * speed, unless they tell each other.
 */
@Execution(ExecutionMode.CONCURRENT)
class UnevenEnginesTest {

  static {
    Configurator.setLevel("zinniaspan", Level.ERROR);
  }

  private static final int ENGINES = 78;
  private static final long LEARNING_MS = 8_000;
  private static final long PLAYED_MS = 12_000;
  private static final double[] EQUAL = {1};
  private static final double[] UNEVEN = {0.7, 0.7, 1.7};

  private static OverloadedFleet play(int vms, boolean learns, double[] slowness) {
    OverloadedFleet world = new OverloadedFleet(1, vms, ENGINES, 6);
    world.learnsSpeeds = learns;
    world.slowDown(OverloadedFleet.MODEL, slowness);
    world.advance(LEARNING_MS);
    world.resetTallies();
    world.advance(PLAYED_MS);
    return world;
  }

  /** Returns the number of strict streams that were answered after their latency target. */
  private static int late(OverloadedFleet world) {
    return List.of(OverloadedFleet.CHAT, OverloadedFleet.FLAG).stream()
        .map(world.tallies::get)
        .mapToInt(tally -> tally.served - tally.inTime)
        .sum();
  }

  private static int asked(OverloadedFleet world) {
    return world.tallies.get(OverloadedFleet.CHAT).asked
        + world.tallies.get(OverloadedFleet.FLAG).asked;
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 91, 371})
  void halvesTheLateAnswersOfStrictStreams(int vms) {
    OverloadedFleet oneSpeed = play(vms, false, UNEVEN);
    OverloadedFleet learned = play(vms, true, UNEVEN);
    assertWithMessage("%s; before: %s", learned.summary(), oneSpeed.summary())
        .that(2 * late(learned))
        .isAtMost(late(oneSpeed));
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 91})
  void leavesEqualEnginesAsTheyAre(int vms) {
    OverloadedFleet oneSpeed = play(vms, false, EQUAL);
    OverloadedFleet learned = play(vms, true, EQUAL);
    assertWithMessage("%s; before: %s", learned.summary(), oneSpeed.summary())
        .that(late(learned) - late(oneSpeed))
        .isAtMost(asked(learned) / 100);
  }
}
