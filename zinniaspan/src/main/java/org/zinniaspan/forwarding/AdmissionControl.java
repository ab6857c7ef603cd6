package org.zinniaspan.forwarding;

import java.util.Arrays;
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
 * time. The least urgent routes are refused first: a more urgent request that would be late keeps
 * them out for a while, and is itself refused only when none of them was admitted lately.
 */
public final class AdmissionControl {

  /** Share of a latency objective that the expected first byte of a strict stream may take. */
  private static final double STRICT_TARGET_SHARE = 1.3;

  /** Share of a latency objective that the expected first byte of a tolerant stream may take. */
  private static final double TOLERANT_TARGET_SHARE = 0.9;

  /** Prompts longer than this hold up all streams of an engine, in tokens: two of its chunks. */
  private static final long LONG_PROMPT_TOKENS = 4_000;

  /** Share of an engine's slots that may be taken when a long prompt is added. */
  private static final double MAX_LONG_PROMPT_OCCUPANCY = 0.75;

  /** Share of an engine's slots below which nothing is refused. */
  private static final double MIN_REFUSAL_OCCUPANCY = 0.5;

  /** How long a late urgent request keeps the least urgent ones out, in milliseconds. */
  private static final long URGENT_PRECEDENCE_MS = 800;

  /** How long an admitted request keeps more urgent ones from being refused, in milliseconds. */
  private static final long RECENT_ADMISSION_MS = 1_500;

  /** Objective from which a client that comes back can still be in time, in milliseconds. */
  private static final long MIN_RETRYABLE_TARGET_MS = 1_500;

  /** Share of the time left after which a client may come back at the latest. */
  private static final double MAX_RETRY_AFTER_SHARE = 0.32;

  /** Number of ranks at engines. */
  private static final int ENGINE_RANK_COUNT = 10;

  private final Clock clock;
  private final Random random;
  private final long[] lastLateMs = new long[ENGINE_RANK_COUNT];
  private final long[] lastAdmittedMs = new long[ENGINE_RANK_COUNT];

  /** Creates a policy that has refused nothing. */
  public AdmissionControl(Clock clock, Random random) {
    this.clock = clock;
    this.random = random;
    Arrays.fill(lastLateMs, Long.MIN_VALUE / 2);
    Arrays.fill(lastAdmittedMs, Long.MIN_VALUE / 2);
  }

  /**
   * What is known of a request.
   *
   * @param rank its rank at engines; 0 is the most urgent
   * @param leastUrgent whether no route of the service is less urgent than its own
   * @param toleratesPauses whether long pauses between events do not matter
   * @param targetMs its latency objective, in milliseconds
   * @param leftMs time until its deadline, in milliseconds
   */
  public record Request(
      int rank, boolean leastUrgent, boolean toleratesPauses, long targetMs, long leftMs) {}

  /** Returns why a request is refused; empty if it is sent to the selected engine. */
  public Optional<Refusal> decide(Request request, Selection selection) {
    Optional<String> reason = refusalReason(request, selection);
    if (reason.isEmpty()) {
      lastAdmittedMs[rankIndex(request)] = clock.nowMs();
    }
    return reason.map(code -> new Refusal(code, retryAfterMs(request)));
  }

  private Optional<String> refusalReason(Request request, Selection selection) {
    TrackedEndpoint engine = selection.endpoint();
    if (engine.occupancy() < MIN_REFUSAL_OCCUPANCY && engine.reportedQueue() == 0) {
      return Optional.empty();
    }
    double share = request.toleratesPauses() ? TOLERANT_TARGET_SHARE : STRICT_TARGET_SHARE;
    boolean late = selection.expectedMs() > share * request.targetMs();
    if (!request.leastUrgent()) {
      return late ? urgentRefusalReason(request) : Optional.empty();
    }
    if (isAnyWithin(lastLateMs, 0, rankIndex(request), URGENT_PRECEDENCE_MS)) {
      return Optional.of("urgent-first");
    }
    if (late) {
      return Optional.of("too-late");
    }
    boolean full =
        selection.uncachedTokens() > LONG_PROMPT_TOKENS
            && engine.occupancy() > MAX_LONG_PROMPT_OCCUPANCY;
    return full ? Optional.of("engines-full") : Optional.empty();
  }

  private Optional<String> urgentRefusalReason(Request request) {
    int index = rankIndex(request);
    lastLateMs[index] = clock.nowMs();
    return isAnyWithin(lastAdmittedMs, index + 1, ENGINE_RANK_COUNT, RECENT_ADMISSION_MS)
        ? Optional.empty()
        : Optional.of("too-late");
  }

  private boolean isAnyWithin(long[] times, int from, int to, long spanMs) {
    long since = clock.nowMs() - spanMs;
    for (int rank = from; rank < to; rank++) {
      if (times[rank] > since) {
        return true;
      }
    }
    return false;
  }

  private static int rankIndex(Request request) {
    return Math.max(0, Math.min(ENGINE_RANK_COUNT - 1, request.rank()));
  }

  /** Spreads the clients that come back, before their objective passes where that is possible. */
  private long retryAfterMs(Request request) {
    double maxMs = request.leftMs() * MAX_RETRY_AFTER_SHARE;
    double baseMs =
        request.targetMs() >= MIN_RETRYABLE_TARGET_MS
            ? Math.min(maxMs, request.targetMs() / 2.0)
            : maxMs;
    return Math.max(1, Math.round(baseMs * (0.6 + 0.4 * random.nextDouble())));
  }
}
