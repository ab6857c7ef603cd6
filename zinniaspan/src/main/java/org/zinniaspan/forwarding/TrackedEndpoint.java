package org.zinniaspan.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An endpoint with this VM's observations of it: requests in flight, delays, failures, and cached
 * prompt parts.
 */
public final class TrackedEndpoint {

  /** Half-life of the observed delay, in milliseconds. */
  private static final double DELAY_HALF_LIFE_MS = 1_500;

  /** Half-life of an observed failure, in milliseconds. */
  private static final double FAILURE_HALF_LIFE_MS = 2_000;

  /** Half-life of the observed pause, in milliseconds. */
  private static final double PAUSE_HALF_LIFE_MS = 3_000;

  /** Weight of a new pause in the moving average. */
  private static final double PAUSE_WEIGHT = 0.3;

  /** Share of a prediction error by which the observed delay is corrected. */
  private static final double DELAY_WEIGHT = 0.5;

  /**
   * Largest number of prompt parts that are recorded for an endpoint; the least recently used are
   * evicted.
   */
  private static final int MAX_CACHED_PARTS = 2_000;

  /** Weight of a new prompt in the moving average of the prompt tokens that are prefilled there. */
  private static final double PROMPT_MEAN_WEIGHT = 0.1;

  /** Average assumed before the first prompt, in tokens. */
  private static final double INITIAL_MEAN_TOKENS = 1_500;

  /** How old the figures of a report are when it is requested, in milliseconds. */
  private static final long REPORT_LAG_MS = 100;

  /** Number of own requests whose send times are kept. */
  private static final int MAX_SEND_TIMES = 500;

  /** Share of an engine's slots below which a prompt hardly waits for running streams. */
  private static final double UNLOADED_OCCUPANCY = 0.25;

  /** Difference between two ends of a cold period that counts, in milliseconds. */
  private static final long MIN_COLD_STEP_MS = 250;

  /** Age beyond which a report is stale, in milliseconds. */
  private static final long MAX_REPORT_AGE_MS = 2_000;

  private ListedEndpoint listed;
  private boolean statedDraining;
  private long coldUntilMs = Long.MIN_VALUE / 2;
  private long firstSeenMs = Long.MIN_VALUE / 2;
  private boolean fresh;
  private EngineReport report;
  private long reportMs;
  private final Deque<Long> sendTimesMs = new ArrayDeque<>();
  private double meanPromptTokens = INITIAL_MEAN_TOKENS;
  private int inFlight;
  private final Deque<Long> abandonedUntilMs = new ArrayDeque<>();
  private long ownWaitingTokens;
  private final DecayingValue strictDelayMs = new DecayingValue(DELAY_HALF_LIFE_MS);
  private final DecayingValue tolerantDelayMs = new DecayingValue(DELAY_HALF_LIFE_MS);
  private final DecayingValue pauseMs = new DecayingValue(PAUSE_HALF_LIFE_MS);
  private final DecayingValue failures = new DecayingValue(FAILURE_HALF_LIFE_MS);
  private SpeedObservations speed = new SpeedObservations();
  private final Map<String, Boolean> cachedParts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_CACHED_PARTS;
        }
      };

  /** Creates a tracker without observations. */
  public TrackedEndpoint(ListedEndpoint listed) {
    this.listed = listed;
  }

  /** Returns the endpoint's entry in the platform's list. */
  public ListedEndpoint listed() {
    return listed;
  }

  /**
   * Replaces the platform's entry. A new incarnation under the same id has an empty cache, so the
   * cached parts and the report are discarded.
   */
  void update(ListedEndpoint entry) {
    if (entry.startedAtMs() != listed.startedAtMs()) {
      cachedParts.clear();
      report = null;
      statedDraining = false;
      speed = new SpeedObservations();
      coldUntilMs = Long.MIN_VALUE / 2;
    }
    listed = entry;
  }

  /**
   * Records when this incarnation was first seen.
   *
   * @param isFresh whether it was not yet there when this process read the list for the first time
   */
  void onFirstSeen(boolean isFresh, long nowMs) {
    fresh = isFresh;
    firstSeenMs = nowMs;
  }

  /** Returns when this incarnation was first seen, in milliseconds. */
  long firstSeenMs() {
    return firstSeenMs;
  }

  /** Returns whether this incarnation was not yet there when this process first read the list. */
  boolean isFresh() {
    return fresh;
  }

  /** Returns until when this incarnation is cold by what it stated, in milliseconds. */
  long coldUntilMs() {
    return coldUntilMs;
  }

  /** Returns whether the endpoint stated that it is cold, so that it has cached no prompts. */
  public boolean isCold(long nowMs) {
    return coldUntilMs > nowMs;
  }

  /**
   * Records until when this incarnation states that it is cold. An earlier end than that known is
   * ignored, as the statement may be older; so is one that is hardly later, as the statements of
   * one period reach this VM at different ages.
   *
   * @return whether the end is new
   */
  boolean stateCold(long untilMs, long nowMs) {
    if (untilMs <= nowMs || untilMs <= coldUntilMs + MIN_COLD_STEP_MS) {
      return false;
    }
    if (!isCold(nowMs)) {
      cachedParts.clear();
    }
    coldUntilMs = untilMs;
    return true;
  }

  /** Returns whether this incarnation stated in a response that it is draining. */
  boolean statedDraining() {
    return statedDraining;
  }

  /** Records that this incarnation stated that it is draining; returns whether that is new. */
  boolean stateDraining() {
    boolean isNew = !statedDraining;
    statedDraining = true;
    return isNew;
  }

  /** Returns the number of this VM's requests in flight at the endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of this VM's requests that have not had their first event. */
  public long ownWaitingTokens() {
    return ownWaitingTokens;
  }

  /**
   * Records that a request was sent.
   *
   * @param promptTokens prompt tokens that the endpoint is expected to prefill for it
   */
  public void onSent(long promptTokens, long nowMs) {
    inFlight++;
    sendTimesMs.addLast(nowMs);
    if (sendTimesMs.size() > MAX_SEND_TIMES) {
      sendTimesMs.pollFirst();
    }
    ownWaitingTokens += promptTokens;
    meanPromptTokens += PROMPT_MEAN_WEIGHT * (promptTokens - meanPromptTokens);
  }

  /** Records that a prompt no longer waits: its first event arrived, or its request ended. */
  public void onPromptDone(long promptTokens) {
    ownWaitingTokens -= promptTokens;
  }

  /**
   * Records that this VM gave up a request, which may occupy a slot for some more time.
   *
   * @param untilMs end of that time, in milliseconds
   */
  public void onAbandoned(long untilMs) {
    abandonedUntilMs.addLast(untilMs);
  }

  /** Returns the number of slots that this VM's requests may occupy. */
  public int occupiedSlots(long nowMs) {
    if (!abandonedUntilMs.isEmpty()) {
      abandonedUntilMs.removeIf(ms -> ms <= nowMs);
    }
    return inFlight + abandonedUntilMs.size();
  }

  /** Records that a request ended. */
  public void onEnded() {
    inFlight--;
  }

  /**
   * Records by how much the first byte of a response was later than predicted.
   *
   * @param tolerant whether the stream tolerates long pauses; engines serve such streams last
   * @param excessMs actual minus predicted time, in milliseconds
   */
  public void onDelay(boolean tolerant, double excessMs, long nowMs) {
    DecayingValue delayMs = tolerant ? tolerantDelayMs : strictDelayMs;
    double previous = delayMs.at(nowMs);
    delayMs.set(Math.max(0, previous + DELAY_WEIGHT * excessMs), nowMs);
  }

  /** Records the longest pause between two events of a strict stream, in milliseconds. */
  public void onPause(long longestMs, long nowMs) {
    double previous = pauseMs.at(nowMs);
    pauseMs.set(previous + PAUSE_WEIGHT * (longestMs - previous), nowMs);
  }

  /** Returns the decayed average of the pauses of strict streams, in milliseconds. */
  public double pauseMs(long nowMs) {
    return pauseMs.at(nowMs);
  }

  /** Returns the evidence of the speed of this incarnation. */
  public SpeedObservations speed() {
    return speed;
  }

  /** Records a failure. */
  public void onFailure(long nowMs) {
    failures.add(1, nowMs);
  }

  /** Records a success, which halves the weight of earlier failures. */
  public void onSuccess(long nowMs) {
    failures.set(failures.at(nowMs) / 2, nowMs);
  }

  /**
   * Records a load report; one that is older than the last is ignored.
   *
   * @param requestedMs time at which the report was requested, in milliseconds
   */
  public void onReport(EngineReport newReport, long requestedMs) {
    if (requestedMs < reportMs) {
      return;
    }
    report = newReport;
    reportMs = requestedMs;
    while (!sendTimesMs.isEmpty() && sendTimesMs.peekFirst() < requestedMs - REPORT_LAG_MS) {
      sendTimesMs.pollFirst();
    }
  }

  private int sentSinceReport() {
    return sendTimesMs.size();
  }

  /** Returns whether there is a report that is not stale. */
  public boolean hasReport(long nowMs) {
    return report != null && nowMs - reportMs <= MAX_REPORT_AGE_MS;
  }

  /** Returns when the last report was requested, in milliseconds; 0 if there was none. */
  public long lastReportMs() {
    return reportMs;
  }

  /** Returns the time since the last report was requested, in milliseconds. */
  public long reportAgeMs(long nowMs) {
    return nowMs - reportMs;
  }

  /** Returns the queue length in the last report; 0 if there is none. */
  public int reportedQueue() {
    return report == null ? 0 : report.queued();
  }

  /**
   * Returns the share of the slots that are taken or requested, by the last report and the requests
   * sent since; above 1 if requests are queued. Without a report, only this VM's requests count.
   */
  public double occupancy() {
    int taken = report == null ? inFlight : report.active() + report.queued() + sentSinceReport();
    return (double) taken / Math.max(1, listed.slots());
  }

  /**
   * Returns an estimate of the prompt tokens that wait at the endpoint, from the last report and
   * the requests that this VM sent since. Without a report, or with a stale one, only this VM's
   * prompts count.
   *
   * <p>It assumes that the prompts prefilled since the report were replaced by those of other VMs.
   */
  public double estimatedWaitingTokens(long nowMs) {
    if (!hasReport(nowMs)) {
      return ownWaitingTokens;
    }
    return (report.queued() + sentSinceReport()) * meanPromptTokens;
  }

  /**
   * Returns whether a prompt is prefilled there at once: a recent report shows that few streams run
   * and none waits.
   */
  public boolean isUnloaded(long nowMs) {
    return hasReport(nowMs)
        && report.queued() == 0
        && ownWaitingTokens == 0
        && occupancy() < UNLOADED_OCCUPANCY;
  }

  /** Returns the estimated number of requests that wait for a slot. */
  public double slotQueueLength() {
    return Math.max(0, (occupancy() - 1) * listed.slots());
  }

  /** Returns the decayed delay of tolerant or strict streams, in milliseconds. */
  public double delayMs(boolean tolerant, long nowMs) {
    return (tolerant ? tolerantDelayMs : strictDelayMs).at(nowMs);
  }

  /** Returns the decayed number of recent failures. */
  public double failures(long nowMs) {
    return failures.at(nowMs);
  }

  /**
   * Records that the endpoint prefills a prompt, so that the prompt's parts count as cached there.
   */
  public void recordPrompt(Prompt prompt) {
    prompt.parts().forEach(part -> cachedParts.put(part.id(), Boolean.TRUE));
  }

  /**
   * Returns the prompt tokens that are expected to be cached there: those of the first parts that
   * this VM sent there.
   */
  public long cachedTokens(Prompt prompt) {
    long tokens = 0;
    for (PromptPart part : prompt.parts()) {
      if (!cachedParts.containsKey(part.id())) {
        break;
      }
      tokens += part.tokens();
    }
    return tokens;
  }
}
