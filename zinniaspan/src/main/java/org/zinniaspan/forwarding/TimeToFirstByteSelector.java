package org.zinniaspan.forwarding;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Selects the endpoint with the lowest cost, which is mainly the expected time to first byte.
 *
 * <p>The cost adds up the prefill of the prompts that wait at the endpoint and of the part of this
 * prompt that is not cached there, by the speed that the endpoint's answers tell, the recently
 * observed delay, for strict streams the recently observed pauses, the distance, and a penalty for
 * recent failures. Prompt parts that many requests share have a home endpoint. All VMs find it by
 * rendezvous hashing, so that a VM can count on parts that other VMs sent there.
 */
public final class TimeToFirstByteSelector implements EndpointSelector {

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

  /**
   * Share of a shared part's tokens that are expected to be cached at its home endpoint, if this VM
   * did not send the part there itself.
   */
  private static final double CACHED_AT_HOME_SHARE = 0.5;

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

  private final StreamWork work;
  private final EnginePartition partition;
  private final Clock clock;
  private final ZoneCosts zoneCosts;
  private final Random random;
  private final Function<String, EngineSpeed> speeds;

  /**
   * Creates a selector.
   *
   * @param work work of the streams at the engines
   * @param speeds returns the speed of a service's endpoints, by the service's name
   */
  public TimeToFirstByteSelector(
      Clock clock,
      ZoneCosts zoneCosts,
      StreamWork work,
      Function<String, EngineSpeed> speeds,
      Random random) {
    this.clock = clock;
    this.speeds = speeds;
    this.work = work;
    this.partition = new EnginePartition(work);
    this.zoneCosts = zoneCosts;
    this.random = random;
  }

  @Override
  public Optional<Selection> select(
      List<TrackedEndpoint> candidates, Demand demand, Set<String> excluded) {
    addWork(candidates, demand);
    Selection best = null;
    double bestCost = Double.MAX_VALUE;
    for (Map.Entry<TrackedEndpoint, EndpointCost> entry : costs(candidates, demand).entrySet()) {
      TrackedEndpoint candidate = entry.getKey();
      if (excluded.contains(candidate.listed().id())) {
        continue;
      }
      EndpointCost endpointCost = entry.getValue();
      double cost =
          endpointCost.expectedMs() * (1 - JITTER_SHARE * random.nextDouble())
              + endpointCost.otherMs()
              + random.nextDouble() * JITTER_MS;
      if (cost < bestCost) {
        bestCost = cost;
        best = new Selection(candidate, endpointCost.expectedMs(), endpointCost.uncachedTokens());
      }
    }
    return Optional.ofNullable(best);
  }

  @Override
  public Map<TrackedEndpoint, EndpointCost> costs(List<TrackedEndpoint> candidates, Demand demand) {
    Set<String> preferred = preferred(candidates, demand);
    Optional<Prompt> prompt = demand.prompt();
    Optional<String> home = prompt.flatMap(p -> homeEndpoint(p, warm(candidates, preferred)));
    long now = clock.nowMs();
    // Streams of the other kind change the pauses of an engine, which is not its own speed.
    Map<Boolean, EndpointSpeeds> speedsByKind =
        candidates.stream()
            .collect(
                Collectors.partitioningBy(
                    candidate -> preferred.contains(candidate.listed().id()),
                    Collectors.collectingAndThen(
                        Collectors.mapping(
                            candidate -> candidate.speed().evidence(now), Collectors.toList()),
                        EndpointSpeeds::of)));
    Map<TrackedEndpoint, EndpointCost> costs = new LinkedHashMap<>();
    for (TrackedEndpoint candidate : candidates) {
      boolean isPreferred = preferred.contains(candidate.listed().id());
      double slowness = speedsByKind.get(isPreferred).factor(candidate.speed().evidence(now));
      EndpointCost ofEndpoint = estimate(candidate, demand, home, slowness);
      costs.put(
          candidate,
          ofEndpoint.withOther(
              zoneCosts.costMs(candidate.listed().zone()),
              REPEATED_PREFILL_COST_MS * repeatedTokens(candidate, prompt, home),
              demand.toleratesPauses() ? 0 : candidate.pauseMs(now),
              isPreferred ? 0 : misplacementCostMs(demand)));
    }
    return costs;
  }

  private void addWork(List<TrackedEndpoint> candidates, Demand demand) {
    if (demand.prompt().isEmpty() || candidates.isEmpty()) {
      return;
    }
    Prompt prompt = demand.prompt().get();
    String service = candidates.get(0).listed().service();
    EngineSpeed speed = speeds.apply(service);
    double engineMs =
        speed.prefillMs(prompt.tokens()) + prompt.maxOutputTokens() * speed.outputTokenMs();
    work.add(service, demand.toleratesPauses(), engineMs);
  }

  /**
   * Returns the ids of the engines for this kind of stream; of all endpoints for plain services.
   */
  private Set<String> preferred(List<TrackedEndpoint> candidates, Demand demand) {
    Set<String> ids = new HashSet<>();
    candidates.forEach(candidate -> ids.add(candidate.listed().id()));
    if (demand.prompt().isEmpty() || candidates.isEmpty()) {
      return ids;
    }
    Set<String> tolerant = partition.tolerantEngines(candidates);
    if (demand.toleratesPauses() || tolerant.size() == ids.size()) {
      return tolerant;
    }
    ids.removeAll(tolerant);
    return ids;
  }

  /** Returns those of some endpoints that may have prompts in memory; all if none has. */
  private Set<String> warm(List<TrackedEndpoint> candidates, Set<String> ids) {
    Set<String> warm = new HashSet<>(ids);
    candidates.stream()
        .filter(candidate -> candidate.isCold(clock.nowMs()))
        .forEach(candidate -> warm.remove(candidate.listed().id()));
    return warm.isEmpty() ? ids : warm;
  }

  private static double misplacementCostMs(Demand demand) {
    if (!demand.toleratesPauses()) {
      return STRICT_MISPLACEMENT_COST_MS;
    }
    double thousands = demand.prompt().map(Prompt::tokens).orElse(0L) / 1_000.0;
    return TOLERANT_MISPLACEMENT_COST_MS * thousands * thousands;
  }

  /**
   * Estimates the time to the first byte of an endpoint.
   *
   * @param slowness the time that this endpoint takes, as a multiple of the mean endpoint's
   */
  private EndpointCost estimate(
      TrackedEndpoint candidate, Demand demand, Optional<String> home, double slowness) {
    long now = clock.nowMs();
    Optional<Prompt> prompt = demand.prompt();
    EngineSpeed speed = speeds.apply(candidate.listed().service());
    EndpointCost observed =
        EndpointCost.observed(
            candidate.delayMs(demand.toleratesPauses(), now),
            FAILURE_COST_MS * candidate.failures(now));
    if (prompt.isEmpty()) {
      double load = (double) candidate.inFlight() / Math.max(1, candidate.listed().slots());
      return observed.withCall(speed.plainCallMs() * Math.max(0, slowness * (1 + load) - 1));
    }
    boolean isHome = home.equals(Optional.of(candidate.listed().id()));
    long uncached = uncachedTokens(candidate, prompt.get(), isHome);
    double slotMs =
        candidate.slotQueueLength()
            * speed.streamSlotMs()
            / Math.max(1, candidate.listed().slots());
    return observed.withPrompt(
        slowness * speed.prefillMs(candidate.estimatedWaitingTokens(now) + uncached),
        slowness * slotMs,
        slowness * speed.firstEventMs(),
        uncached);
  }

  /**
   * Returns the prompt tokens that the endpoint is expected to prefill.
   *
   * <p>Parts are cached only if all parts before them are. Of the shared parts that this VM did not
   * send itself, a share is expected to be cached at their home, as other VMs may have sent them.
   */
  private static long uncachedTokens(TrackedEndpoint candidate, Prompt prompt, boolean isHome) {
    long cached = candidate.cachedTokens(prompt);
    if (!isHome) {
      return Math.max(0, prompt.tokens() - cached);
    }
    long shared = Math.max(cached, sharedTokens(prompt));
    return Math.max(
        0, prompt.tokens() - cached - Math.round(CACHED_AT_HOME_SHARE * (shared - cached)));
  }

  /**
   * Returns the shared tokens of a prompt that this endpoint would prefill although another one has
   * them cached, or will have them as their home.
   */
  private static long repeatedTokens(
      TrackedEndpoint candidate, Optional<Prompt> prompt, Optional<String> home) {
    if (prompt.isEmpty() || home.equals(Optional.of(candidate.listed().id()))) {
      return 0;
    }
    return Math.max(0, sharedTokens(prompt.get()) - candidate.cachedTokens(prompt.get()));
  }

  /** Returns the tokens of all parts but the last, which no other prompt shares. */
  private static long sharedTokens(Prompt prompt) {
    return prompt.parts().stream()
        .limit(Math.max(0, prompt.parts().size() - 1))
        .mapToLong(PromptPart::tokens)
        .sum();
  }

  /**
   * Returns the home endpoint of a prompt: that of its last shared part, since the prompts that
   * have this part in common share all parts before it. A part that is too short to have a home
   * leaves the choice to the one before it.
   */
  private static Optional<String> homeEndpoint(Prompt prompt, Set<String> endpoints) {
    for (int i = prompt.parts().size() - 2; i >= 0; i--) {
      PromptPart part = prompt.parts().get(i);
      if (part.tokens() >= MIN_HOME_PART_TOKENS) {
        return RendezvousHash.ranked(part.id(), endpoints, 1).stream().findFirst();
      }
    }
    return Optional.empty();
  }
}
