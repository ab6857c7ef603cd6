package org.zinniaspan.forwarding;

import java.util.Optional;
import java.util.Random;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.EndpointSelector.Selection;

/**
 * Decides whether a request to a model service is sent on or refused at once.
 *
 * <p>Load pattern: more requests arrive than the engines can serve. If all were sent on, each would
 * wait in an engine's queue behind the others, and none would meet its objective. So a request is
 * refused when even the best engine would answer too late, and the ones that are admitted are in
 * time. Once an urgent request was refused, less urgent ones are refused too, so that engines
 * become free for the urgent ones first.
 */
public final class Admission {

  /** Share of a latency objective that the expected first byte of a strict stream may take. */
  private static final double STRICT_SHARE = 1.3;

  /** Share of a latency objective that the expected first byte of a tolerant stream may take. */
  private static final double TOLERANT_SHARE = 0.9;

  /** Share of an engine's slots that may be taken when a tolerant stream is added. */
  private static final double TOLERANT_OCCUPANCY = 0.8;

  /** Share of an engine's slots below which nothing is refused. */
  private static final double LEAST_OCCUPANCY = 0.5;

  /** How long a refusal of an urgent request keeps less urgent ones out, in milliseconds. */
  private static final long URGENT_FIRST_MS = 800;

  /** Objective from which a client that comes back can still be in time, in milliseconds. */
  private static final long RETURN_IN_TIME_MS = 1_500;

  /** Share of the time left after which a client may come back at the latest. */
  private static final double MOST_WAIT_SHARE = 0.32;

  /** Number of ranks at engines. */
  private static final int RANKS = 10;

  private final Clock clock;
  private final Random random;
  private final long[] refusedMs = new long[RANKS];

  /** Creates a policy that has refused nothing. */
  public Admission(Clock clock, Random random) {
    this.clock = clock;
    this.random = random;
    java.util.Arrays.fill(refusedMs, Long.MIN_VALUE / 2);
  }

  /**
   * What is known of a request.
   *
   * @param rank its rank at engines; 0 is the most urgent
   * @param toleratesPauses whether long pauses between events do not matter
   * @param targetMs its latency objective, in milliseconds
   * @param leftMs time until its deadline, in milliseconds
   */
  public record Request(int rank, boolean toleratesPauses, long targetMs, long leftMs) {}

  /** Returns why a request is refused; empty if it is sent to the selected engine. */
  public Optional<Refusal> decide(Request request, Selection selection) {
    TrackedEndpoint engine = selection.endpoint();
    if (engine.occupancy() < LEAST_OCCUPANCY && engine.reportedQueue() == 0) {
      return Optional.empty();
    }
    if (urgentRefusedLately(request.rank())) {
      return Optional.of(new Refusal("urgent-first", comeBackMs(request)));
    }
    double share = request.toleratesPauses() ? TOLERANT_SHARE : STRICT_SHARE;
    boolean late = selection.expectedMs() > share * request.targetMs();
    boolean full = request.toleratesPauses() && engine.occupancy() > TOLERANT_OCCUPANCY;
    if (!late && !full) {
      return Optional.empty();
    }
    refusedMs[Math.min(RANKS - 1, request.rank())] = clock.nowMs();
    return Optional.of(new Refusal(late ? "too-late" : "engines-full", comeBackMs(request)));
  }

  private boolean urgentRefusedLately(int rank) {
    long since = clock.nowMs() - URGENT_FIRST_MS;
    for (int urgent = 0; urgent < Math.min(rank, RANKS); urgent++) {
      if (refusedMs[urgent] > since) {
        return true;
      }
    }
    return false;
  }

  /** Spreads the clients that come back, before their objective passes where that is possible. */
  private long comeBackMs(Request request) {
    double mostMs = request.leftMs() * MOST_WAIT_SHARE;
    double baseMs =
        request.targetMs() >= RETURN_IN_TIME_MS
            ? Math.min(mostMs, request.targetMs() / 2.0)
            : mostMs;
    return Math.max(1, Math.round(baseMs * (0.6 + 0.4 * random.nextDouble())));
  }
}
