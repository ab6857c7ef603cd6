package org.zinniaspan.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/** An endpoint with what this VM has seen of it: requests in flight, delays, failures, prompts. */
public final class TrackedEndpoint {

  /** Time in which the memory of a delay falls to half, in milliseconds. */
  private static final double DELAY_HALF_LIFE_MS = 1_500;

  /** Time in which the memory of a failure falls to half, in milliseconds. */
  private static final double FAILURE_HALF_LIFE_MS = 2_000;

  /** Time in which the memory of a pause falls to half, in milliseconds. */
  private static final double PAUSE_HALF_LIFE_MS = 3_000;

  /** Share of a new pause in the remembered one. */
  private static final double PAUSE_WEIGHT = 0.3;

  /** Share of an error of the expectation by which the remembered delay is corrected. */
  private static final double DELAY_WEIGHT = 0.5;

  /** Parts of prompts that are remembered for an endpoint. */
  private static final int MAX_CACHED_PARTS = 2_000;

  /** Share of a new prompt in the mean length of the prompts that are read there. */
  private static final double PROMPT_MEAN_WEIGHT = 0.1;

  /** Mean length of a prompt before any was sent, in tokens. */
  private static final double INITIAL_MEAN_TOKENS = 1_500;

  /** Age from which a report says nothing about the present, in milliseconds. */
  private static final long MAX_REPORT_AGE_MS = 2_000;

  private ListedEndpoint listed;
  private EngineReport report;
  private long reportMs;
  private int sentSinceReport;
  private double meanPromptTokens = INITIAL_MEAN_TOKENS;
  private int inFlight;
  private long ownWaitingTokens;
  private final DecayingValue strictDelayMs = new DecayingValue(DELAY_HALF_LIFE_MS);
  private final DecayingValue tolerantDelayMs = new DecayingValue(DELAY_HALF_LIFE_MS);
  private final DecayingValue pauseMs = new DecayingValue(PAUSE_HALF_LIFE_MS);
  private final DecayingValue failures = new DecayingValue(FAILURE_HALF_LIFE_MS);
  private final Map<String, Boolean> cachedParts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_CACHED_PARTS;
        }
      };

  /** Starts to track an endpoint. */
  public TrackedEndpoint(ListedEndpoint listed) {
    this.listed = listed;
  }

  /** Returns the platform's entry. */
  public ListedEndpoint listed() {
    return listed;
  }

  /** Replaces the platform's entry; a new incarnation under the same id holds nothing. */
  void update(ListedEndpoint entry) {
    if (entry.startedAtMs() != listed.startedAtMs()) {
      cachedParts.clear();
      report = null;
    }
    listed = entry;
  }

  /** Returns this VM's requests that are in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of this VM's requests that have no first event yet. */
  public long ownWaitingTokens() {
    return ownWaitingTokens;
  }

  /** Counts a request that is sent. */
  public void onSent(long promptTokens) {
    inFlight++;
    sentSinceReport++;
    ownWaitingTokens += promptTokens;
    meanPromptTokens += PROMPT_MEAN_WEIGHT * (promptTokens - meanPromptTokens);
  }

  /** Counts a prompt that was read, as the first event has come or the request has ended. */
  public void onPromptDone(long promptTokens) {
    ownWaitingTokens -= promptTokens;
  }

  /** Counts a request that ended. */
  public void onEnded() {
    inFlight--;
  }

  /**
   * Remembers by how much an answer was later than was expected.
   *
   * @param tolerant whether the stream tolerates long pauses; engines serve such streams last
   */
  public void onDelay(boolean tolerant, double excessMs, long nowMs) {
    DecayingValue delayMs = tolerant ? tolerantDelayMs : strictDelayMs;
    double previous = delayMs.at(nowMs);
    delayMs.set(Math.max(0, previous + DELAY_WEIGHT * excessMs), nowMs);
  }

  /** Remembers the longest pause between two events of a strict stream, in milliseconds. */
  public void onPause(long longestMs, long nowMs) {
    double previous = pauseMs.at(nowMs);
    pauseMs.set(previous + PAUSE_WEIGHT * (longestMs - previous), nowMs);
  }

  /** Returns the remembered pause of strict streams, in milliseconds. */
  public double pauseMs(long nowMs) {
    return pauseMs.at(nowMs);
  }

  /** Remembers a failure. */
  public void onFailure(long nowMs) {
    failures.add(1, nowMs);
  }

  /** Remembers a success, which halves the weight of earlier failures. */
  public void onSuccess(long nowMs) {
    failures.set(failures.at(nowMs) / 2, nowMs);
  }

  /** Takes over a report that was asked for at a time. */
  public void onReport(EngineReport newReport, long requestedMs) {
    report = newReport;
    reportMs = requestedMs;
    sentSinceReport = 0;
  }

  /** Returns whether the engine's last report still tells about the present. */
  public boolean hasReport(long nowMs) {
    return report != null && nowMs - reportMs <= MAX_REPORT_AGE_MS;
  }

  /** Returns the age of the last report, from the asking for it, in milliseconds. */
  public long reportAgeMs(long nowMs) {
    return nowMs - reportMs;
  }

  /** Returns the requests that wait there by the last report; 0 if there is none. */
  public int reportedQueue() {
    return report == null ? 0 : report.queued();
  }

  /** Returns the share of the slots that are taken or asked for, by the last report. */
  public double occupancy() {
    int taken = report == null ? inFlight : report.active() + report.queued() + sentSinceReport;
    return (double) taken / Math.max(1, listed.slots());
  }

  /**
   * Returns the prompt tokens that wait there: by the last report, and with what this VM sent
   * since.
   *
   * <p>What was read since the report is taken to be replaced by what other VMs sent.
   */
  public double estimatedWaitingTokens(long nowMs) {
    if (!hasReport(nowMs)) {
      return ownWaitingTokens;
    }
    return (report.queued() + sentSinceReport) * meanPromptTokens;
  }

  /** Returns the requests that wait for a slot. */
  public double slotQueueLength() {
    return Math.max(0, (occupancy() - 1) * listed.slots());
  }

  /** Returns the remembered delay of one kind of stream, in milliseconds. */
  public double delayMs(boolean tolerant, long nowMs) {
    return (tolerant ? tolerantDelayMs : strictDelayMs).at(nowMs);
  }

  /** Returns the remembered number of recent failures. */
  public double failures(long nowMs) {
    return failures.at(nowMs);
  }

  /** Remembers that the endpoint reads a prompt. */
  public void recordPrompt(Prompt prompt) {
    prompt.parts().forEach(part -> cachedParts.put(part.id(), Boolean.TRUE));
  }

  /** Returns whether this VM has sent a part of a prompt there. */
  public boolean hasCached(PromptPart part) {
    return cachedParts.containsKey(part.id());
  }
}
