package org.zinniaspan.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.zinniaspan.dispatch.LeaseRequest;

/**
 * Chooses the endpoint with the lowest estimated time to first token.
 *
 * <p>The estimate is the sum of the prefill time for the uncached part of the prompt, the queueing
 * time for a place in the batch, and a share of the time that a full batch or a slow pace adds to
 * the whole answer; a suspect endpoint gets a penalty. Load is the reported load, adjusted for the
 * slots taken and released since the time of the report.
 */
public final class EstimatedFirstToken implements EndpointChooser {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
  private static final double DEFAULT_MS_PER_TOKEN = 20;
  private static final int DEFAULT_OUTPUT_TOKENS = 64;
  private static final int MAX_COUNTED_OUTPUT_TOKENS = 256;
  private static final double BATCH_SLOWDOWN_PER_REQUEST = 0.05;
  private static final double SLOW_PACE_WEIGHT = 0.25;
  private static final double SUSPECT_PENALTY_MS = 10_000;
  private static final double MAX_TIE_BREAK_MS = 1;

  private final Random random;

  /** Creates a chooser that breaks ties at random from the given seed. */
  public EstimatedFirstToken(long seed) {
    this.random = new Random(seed);
  }

  @Override
  public String name() {
    return "estimated";
  }

  @Override
  public Optional<EndpointSnapshot> choose(
      LeaseRequest request, List<EndpointSnapshot> candidates, long nowMs) {
    double bestPace = bestPace(candidates);
    EndpointSnapshot best = null;
    double bestMs = Double.MAX_VALUE;
    for (EndpointSnapshot snapshot : candidates) {
      double ms =
          estimateMs(request, snapshot, bestPace, nowMs) + random.nextDouble() * MAX_TIE_BREAK_MS;
      if (ms < bestMs) {
        best = snapshot;
        bestMs = ms;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double bestPace(List<EndpointSnapshot> candidates) {
    return candidates.stream()
        .mapToDouble(EndpointSnapshot::msPerToken)
        .filter(pace -> pace > 0)
        .min()
        .orElse(DEFAULT_MS_PER_TOKEN);
  }

  private static double estimateMs(
      LeaseRequest request, EndpointSnapshot snapshot, double bestPace, long nowMs) {
    double pace = snapshot.msPerToken() > 0 ? snapshot.msPerToken() : bestPace;
    int output = request.outputTokens() > 0 ? request.outputTokens() : DEFAULT_OUTPUT_TOKENS;
    double answerMs = Math.min(output, MAX_COUNTED_OUTPUT_TOKENS) * pace;
    return prefillMs(request, snapshot, nowMs) * pace / bestPace
        + queueMs(snapshot, answerMs)
        + snapshot.load() * BATCH_SLOWDOWN_PER_REQUEST * answerMs
        + SLOW_PACE_WEIGHT * answerMs * (1 - bestPace / pace)
        + (snapshot.suspect() ? SUSPECT_PENALTY_MS : 0);
  }

  private static double prefillMs(LeaseRequest request, EndpointSnapshot snapshot, long nowMs) {
    int cached = snapshot.prefixes().cachedTokens(request.prefixDigests(), nowMs);
    int uncachedTokens = Math.max(1, request.promptTokens() - cached);
    double rate =
        snapshot
            .report()
            .map(LoadReport::prefillTokensPerSecond)
            .filter(reported -> reported > 0)
            .orElse(DEFAULT_PREFILL_TOKENS_PER_SECOND);
    return MS_PER_SECOND * uncachedTokens / rate;
  }

  private static double queueMs(EndpointSnapshot snapshot, double answerMs) {
    int slots = snapshot.endpoint().slots();
    int ahead = snapshot.load() - slots + 1;
    return ahead > 0 ? ahead * answerMs / slots : 0;
  }
}
