package org.zinniaspan.forwarding;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Selects the endpoint with the lowest cost, which is mainly the expected time to first byte.
 *
 * <p>The cost adds up the prefill of the prompts that wait at the endpoint and of the part of this
 * prompt that is not cached there, the recently observed delay, for strict streams the recently
 * observed pauses, the distance, and a penalty for recent failures. Prompt parts that many requests
 * share have a home endpoint. All VMs find it by rendezvous hashing, so that a VM can count on
 * parts that other VMs sent there.
 */
public final class TimeToFirstByteSelector implements EndpointSelector {

  /** Prefill speed of an engine, in prompt tokens per millisecond. */
  private static final double PREFILL_TOKENS_PER_MS = 68.2;

  /** Duration of a request to a plain service, in milliseconds. */
  private static final double PLAIN_CALL_MS = 30;

  /** Time for which a stream occupies its slot, in milliseconds. */
  private static final double STREAM_SLOT_MS = 2_000;

  /** Time from the end of the prefill to the first event, in milliseconds. */
  private static final double FIRST_EVENT_MS = 36;

  /** Cost of one recent failure, in milliseconds: more than a normal response takes. */
  private static final double FAILURE_COST_MS = 400;

  /**
   * Cost of each shared token that has to be prefilled again, in milliseconds, in addition to the
   * prefill time itself: the added wait of other requests, and the price that the operators pay.
   */
  private static final double REPEATED_PREFILL_COST_MS = 0.3;

  /**
   * Shortest shared part that has a home endpoint, in tokens; shorter ones are cheap to prefill
   * again.
   */
  private static final long MIN_HOME_PART_TOKENS = 100;

  /**
   * Random part of the cost, in milliseconds; keeps VMs with the same data from selecting the same
   * endpoint.
   */
  private static final double JITTER_MS = 6;

  /**
   * Largest random reduction of the expected time, as a share of it; has the same purpose as the
   * jitter in milliseconds.
   */
  private static final double JITTER_SHARE = 0.4;

  /** Engine time that one output token takes, in milliseconds. */
  private static final double OUTPUT_TOKEN_MS = 0.15;

  /**
   * Cost of a tolerant stream on an engine for strict ones, in milliseconds for a prompt of 1,000
   * tokens. It grows with the square of the prompt's length, since each of the prompt's consecutive
   * prefill chunks stretches a pause.
   */
  private static final double TOLERANT_MISPLACEMENT_COST_MS = 30;

  /**
   * Cost of a strict stream on an engine for tolerant ones, where it may be late, in milliseconds.
   */
  private static final double STRICT_MISPLACEMENT_COST_MS = 250;

  private final EnginePartition partition;
  private final Clock clock;
  private final ZoneCosts zoneCosts;
  private final Random random;

  /** Creates a selector. */
  public TimeToFirstByteSelector(Clock clock, ZoneCosts zoneCosts, Random random) {
    this.clock = clock;
    this.partition = new EnginePartition(clock);
    this.zoneCosts = zoneCosts;
    this.random = random;
  }

  @Override
  public Optional<Selection> select(
      List<TrackedEndpoint> candidates, Demand demand, Set<String> excluded) {
    Optional<Prompt> prompt = demand.prompt();
    Set<String> preferred = preferred(candidates, demand);
    Optional<String> home = prompt.flatMap(p -> homeEndpoint(p, preferred));
    Selection best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedEndpoint candidate : candidates) {
      if (excluded.contains(candidate.listed().id())) {
        continue;
      }
      Selection selection = estimate(candidate, demand, home);
      double cost =
          selection.expectedMs() * (1 - JITTER_SHARE * random.nextDouble())
              + zoneCosts.costMs(candidate.listed().zone())
              + REPEATED_PREFILL_COST_MS * (selection.uncachedTokens() - unsharedTokens(prompt))
              + (demand.toleratesPauses() ? 0 : candidate.pauseMs(clock.nowMs()))
              + (preferred.contains(candidate.listed().id()) ? 0 : misplacementCostMs(demand))
              + random.nextDouble() * JITTER_MS;
      if (cost < bestCost) {
        bestCost = cost;
        best = selection;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the ids of the engines for this kind of stream; of all endpoints for plain services.
   */
  private Set<String> preferred(List<TrackedEndpoint> candidates, Demand demand) {
    Set<String> ids = new HashSet<>();
    candidates.forEach(candidate -> ids.add(candidate.listed().id()));
    if (demand.prompt().isEmpty()) {
      return ids;
    }
    Prompt prompt = demand.prompt().get();
    double work =
        prompt.tokens() / PREFILL_TOKENS_PER_MS + prompt.maxOutputTokens() * OUTPUT_TOKEN_MS;
    partition.onRequest(demand.toleratesPauses(), work);
    Set<String> tolerant = partition.tolerantEngines(candidates);
    if (demand.toleratesPauses() || tolerant.size() == ids.size()) {
      return tolerant;
    }
    ids.removeAll(tolerant);
    return ids;
  }

  private static double misplacementCostMs(Demand demand) {
    if (!demand.toleratesPauses()) {
      return STRICT_MISPLACEMENT_COST_MS;
    }
    double thousands = demand.prompt().map(Prompt::tokens).orElse(0L) / 1_000.0;
    return TOLERANT_MISPLACEMENT_COST_MS * thousands * thousands;
  }

  private Selection estimate(TrackedEndpoint candidate, Demand demand, Optional<String> home) {
    long now = clock.nowMs();
    Optional<Prompt> prompt = demand.prompt();
    double expectedMs =
        candidate.delayMs(demand.toleratesPauses(), now)
            + FAILURE_COST_MS * candidate.failures(now);
    if (prompt.isEmpty()) {
      double load = (double) candidate.inFlight() / Math.max(1, candidate.listed().slots());
      return new Selection(candidate, expectedMs + PLAIN_CALL_MS * load, 0);
    }
    boolean isHome = home.equals(Optional.of(candidate.listed().id()));
    long uncached = uncachedTokens(candidate, prompt.get(), isHome);
    double prefillMs = (candidate.estimatedWaitingTokens(now) + uncached) / PREFILL_TOKENS_PER_MS;
    double slotMs =
        candidate.slotQueueLength() * STREAM_SLOT_MS / Math.max(1, candidate.listed().slots());
    return new Selection(candidate, expectedMs + prefillMs + slotMs + FIRST_EVENT_MS, uncached);
  }

  /**
   * Returns the tokens of the prompt's last part, which no other prompt shares; 0 if it has no
   * parts.
   */
  private static long unsharedTokens(Optional<Prompt> prompt) {
    return prompt
        .filter(p -> !p.parts().isEmpty())
        .map(p -> p.parts().get(p.parts().size() - 1).tokens())
        .orElse(0L);
  }

  private static long uncachedTokens(TrackedEndpoint candidate, Prompt prompt, boolean isHome) {
    long uncached = prompt.tokens();
    for (PromptPart part : prompt.parts()) {
      boolean cached =
          candidate.hasCached(part) || (isHome && part.tokens() >= MIN_HOME_PART_TOKENS);
      if (!cached && !(isHome && part.equals(prompt.parts().get(0)))) {
        break;
      }
      uncached -= part.tokens();
    }
    return Math.max(0, uncached);
  }

  /** Returns the home endpoint of the longest shared part. */
  private static Optional<String> homeEndpoint(Prompt prompt, Set<String> endpoints) {
    return longestSharedPart(prompt)
        .flatMap(part -> RendezvousHash.ranked(part.id(), endpoints, 1).stream().findFirst());
  }

  private static Optional<PromptPart> longestSharedPart(Prompt prompt) {
    return prompt.parts().stream()
        .limit(Math.max(0, prompt.parts().size() - 1))
        .filter(part -> part.tokens() >= MIN_HOME_PART_TOKENS)
        .max(Comparator.comparingLong(PromptPart::tokens));
  }
}
