package org.zinniaspan.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.EndpointSelector.Selection;

/**
 * Admission control: decides whether a request to a model service is forwarded or refused at once.
 *
 * <p>It sheds load while more requests arrive than the engines can serve. If all were forwarded,
 * each would wait in an engine's queue behind the others, and none would meet its latency target.
 * So a request is refused when even the best engine is expected to respond too late, and the
 * admitted requests are answered in time. The least urgent routes are refused first: a more urgent
 * request that would be late blocks them for a while, and is itself refused only if no less urgent
 * request was admitted recently.
 */
public final class AdmissionControl {

  /**
   * Longest expected time to the first byte of a strict stream, as a share of its latency target.
   */
  private static final double STRICT_TARGET_SHARE = 1.3;

  /**
   * Longest expected time to the first byte of a tolerant stream, as a share of its latency target.
   */
  private static final double TOLERANT_TARGET_SHARE = 0.9;

  /**
   * Prompt length above which a prompt delays all streams of an engine, in tokens: two of the
   * engine's prefill chunks. Tokens that are cached there do not count.
   */
  private static final long LONG_PROMPT_TOKENS = 4_000;

  /** Share of an engine's slots above which long prompts of the least urgent routes are refused. */
  private static final double MAX_LONG_PROMPT_OCCUPANCY = 0.75;

  /**
   * Share of an engine's slots below which nothing is refused, unless requests are queued there.
   */
  private static final double MIN_REFUSAL_OCCUPANCY = 0.5;

  /** How long a late urgent request blocks the least urgent ones, in milliseconds. */
  private static final long URGENT_PRECEDENCE_MS = 800;

  /** How long an admitted request prevents the refusal of more urgent ones, in milliseconds. */
  private static final long RECENT_ADMISSION_MS = 1_500;

  /** Shortest latency target that a client can still meet by retrying, in milliseconds. */
  private static final long MIN_RETRYABLE_TARGET_MS = 1_500;

  /** Longest retry delay, as a share of the time left until the deadline. */
  private static final double MAX_RETRY_AFTER_SHARE = 0.32;

  /** Number of priority ranks at engines. */
  private static final int ENGINE_RANK_COUNT = 10;

  private final Clock clock;
  private final Random random;
  private final long[] lastLateMs = new long[ENGINE_RANK_COUNT];
  private final long[] lastAdmittedMs = new long[ENGINE_RANK_COUNT];
  private final Optional<SharedPressure> shared;
  private final Map<String, SheddingLevel> levels = new HashMap<>();
  private final ReturningRequests returning = new ReturningRequests();

  /** Creates an admission control without past decisions, which heeds only this VM's. */
  public AdmissionControl(Clock clock, Random random) {
    this(clock, random, Optional.empty());
  }

  /**
   * Creates an admission control without past decisions.
   *
   * @param shared the requests of all VMs; if they are not known, only this VM's are heeded
   */
  public AdmissionControl(Clock clock, Random random, Optional<SharedPressure> shared) {
    this.clock = clock;
    this.random = random;
    this.shared = shared;
    Arrays.fill(lastLateMs, Long.MIN_VALUE / 2);
    Arrays.fill(lastAdmittedMs, Long.MIN_VALUE / 2);
  }

  /**
   * The properties of a request that decide its admission.
   *
   * @param rank its priority rank at engines; 0 is the most urgent
   * @param leastUrgent whether no route of the service is less urgent than its own
   * @param toleratesPauses whether long pauses between events are acceptable
   * @param targetMs its latency target, in milliseconds
   * @param leftMs time until its deadline, in milliseconds
   * @param organisation name of its organisation; empty if it has none
   * @param promptTokens length of its prompt
   * @param returning whether its caller was refused before
   */
  public record Request(
      int rank,
      boolean leastUrgent,
      boolean toleratesPauses,
      long targetMs,
      long leftMs,
      String organisation,
      long promptTokens,
      boolean returning) {

    /** Creates a request without an organisation. */
    public Request(
        int rank, boolean leastUrgent, boolean toleratesPauses, long targetMs, long leftMs) {
      this(rank, leastUrgent, toleratesPauses, targetMs, leftMs, "", 1, false);
    }
  }

  /**
   * Records the time to the first event of a stream, which may be late although it was expected in
   * time.
   *
   * @param selection the engine and what was expected of it
   */
  public void onFirstEvent(Request request, Selection selection, double elapsedMs) {
    if (elapsedMs > request.targetMs() && !isLate(request, selection)) {
      String service = selection.endpoint().listed().service();
      shared.ifPresent(pressure -> pressure.onLate(service, rankIndex(request)));
    }
  }

  /**
   * Returns whether a request comes from a caller that was refused before.
   *
   * @param route name of its route
   * @param limitMs time that its caller gave it, in milliseconds
   */
  public boolean isReturning(String route, long limitMs) {
    return returning.isReturning(route, limitMs);
  }

  /**
   * Decides on a request; returns the refusal, or empty if it is admitted to the selected engine.
   */
  public Optional<Refusal> decide(Request request, Selection selection) {
    String service = selection.endpoint().listed().service();
    shared.ifPresent(
        pressure ->
            pressure.onRequest(
                service,
                rankIndex(request),
                request.organisation(),
                request.promptTokens(),
                isShort(selection) && isLate(request, selection)));
    Optional<String> reason = refusalReason(request, selection);
    if (reason.isEmpty()) {
      lastAdmittedMs[rankIndex(request)] = clock.nowMs();
      shared.ifPresent(pressure -> pressure.onAdmitted(service, rankIndex(request)));
    }
    return reason.map(code -> new Refusal(code, retryAfterMs(request)));
  }

  private Optional<String> refusalReason(Request request, Selection selection) {
    if (!isShort(selection)) {
      return Optional.empty();
    }
    String service = selection.endpoint().listed().service();
    Optional<PressureDemand> view = shared.flatMap(pressure -> pressure.of(service));
    if (view.isPresent()) {
      return sharedRefusalReason(request, view.get(), selection);
    }
    boolean late = isLate(request, selection);
    if (!request.leastUrgent()) {
      return late ? urgentRefusalReason(request) : Optional.empty();
    }
    if (isAnyWithin(lastLateMs, 0, rankIndex(request), URGENT_PRECEDENCE_MS)) {
      return Optional.of("urgent-first");
    }
    if (late) {
      return Optional.of("too-late");
    }
    return isFull(selection) ? Optional.of("engines-full") : Optional.empty();
  }

  /** Returns whether even the best engine is loaded, so that requests may be refused. */
  private static boolean isShort(Selection selection) {
    TrackedEndpoint engine = selection.endpoint();
    return engine.occupancy() >= MIN_REFUSAL_OCCUPANCY || engine.reportedQueue() > 0;
  }

  /** Returns whether a long prompt would delay the many streams of its engine. */
  private static boolean isFull(Selection selection) {
    return selection.uncachedTokens() > LONG_PROMPT_TOKENS
        && selection.endpoint().occupancy() > MAX_LONG_PROMPT_OCCUPANCY;
  }

  private static boolean isLate(Request request, Selection selection) {
    double share = request.toleratesPauses() ? TOLERANT_TARGET_SHARE : STRICT_TARGET_SHARE;
    return selection.expectedMs() > share * request.targetMs();
  }

  /**
   * Decides by the requests of all VMs: a request gives way to more urgent ones that are late, and
   * one that is late itself is refused if no VM admits less urgent ones. Organisations with more
   * than an equal share give way first, and callers that come back last.
   */
  private Optional<String> sharedRefusalReason(
      Request request, PressureDemand view, Selection selection) {
    int rank = rankIndex(request);
    boolean late = isLate(request, selection);
    SheddingLevel level =
        levels.computeIfAbsent(view.service(), name -> new SheddingLevel(name, clock));
    double yielded = level.share(view, rank);
    if (yielded > 0 && isRefused(request, view, yielded)) {
      return Optional.of("urgent-first");
    }
    PressureDemand.Rank demand = view.ranks().get(rank);
    if (demand == null || mayLessUrgentBeAdmitted(request, view)) {
      return Optional.empty();
    }
    if (late) {
      return Optional.of("too-late");
    }
    if (FairShares.isAboveEqualShare(demand, request.organisation())
        && isRefused(request, view, demand.lateShare())) {
      return Optional.of("organisation-share");
    }
    return request.leastUrgent() && !request.returning() && isFull(selection)
        ? Optional.of("engines-full")
        : Optional.empty();
  }

  /** Returns whether some VM may admit less urgent requests, which have to give way first. */
  private boolean mayLessUrgentBeAdmitted(Request request, PressureDemand view) {
    return !request.leastUrgent()
        && (view.isLessUrgentAdmitted(rankIndex(request), RECENT_ADMISSION_MS)
            || !shared.map(SharedPressure::isComplete).orElse(true));
  }

  /** Draws whether a request is among a share of its rank's that is refused. */
  private boolean isRefused(Request request, PressureDemand view, double share) {
    PressureDemand.Rank demand = view.ranks().get(rankIndex(request));
    double refused =
        demand == null ? share : FairShares.refusedShare(demand, request.organisation(), share);
    return random.nextDouble() < (request.returning() ? refused * refused : refused);
  }

  private Optional<String> urgentRefusalReason(Request request) {
    int index = rankIndex(request);
    lastLateMs[index] = clock.nowMs();
    boolean lessUrgentMayBeAdmitted =
        isAnyWithin(lastAdmittedMs, index + 1, ENGINE_RANK_COUNT, RECENT_ADMISSION_MS)
            || shared.map(SharedPressure::isAwaited).orElse(false);
    return lessUrgentMayBeAdmitted ? Optional.empty() : Optional.of("too-late");
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

  /**
   * Returns a randomized retry delay in milliseconds, which spreads the retries of refused clients
   * and, where possible, ends before their latency target passes.
   */
  private long retryAfterMs(Request request) {
    double maxMs = request.leftMs() * MAX_RETRY_AFTER_SHARE;
    double baseMs =
        request.targetMs() >= MIN_RETRYABLE_TARGET_MS
            ? Math.min(maxMs, request.targetMs() / 2.0)
            : maxMs;
    return Math.max(1, Math.round(baseMs * (0.6 + 0.4 * random.nextDouble())));
  }
}
