package org.zinniaspan.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/** An endpoint with what this VM has seen of it: requests in flight, delays, failures, prompts. */
public final class TrackedEndpoint {

  /** Time in which the memory of a delay falls to half, in milliseconds. */
  private static final double DELAY_HALF_LIFE_MS = 400;

  /** Time in which the memory of a failure falls to half, in milliseconds. */
  private static final double FAILURE_HALF_LIFE_MS = 2_000;

  /** Share of a new delay in the remembered one. */
  private static final double DELAY_WEIGHT = 0.5;

  /** Parts of prompts that are remembered for an endpoint. */
  private static final int MOST_PARTS = 2_000;

  private ListedEndpoint listed;
  private int inFlight;
  private long waitingPromptTokens;
  private final DecayingValue delayMs = new DecayingValue(DELAY_HALF_LIFE_MS);
  private final DecayingValue failures = new DecayingValue(FAILURE_HALF_LIFE_MS);
  private final Map<String, Boolean> parts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MOST_PARTS;
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
    if (entry.bornMs() != listed.bornMs()) {
      parts.clear();
    }
    listed = entry;
  }

  /** Returns this VM's requests that are in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens of this VM's requests that have no first event yet. */
  public long waitingPromptTokens() {
    return waitingPromptTokens;
  }

  /** Counts a request that is sent. */
  public void onSent(long promptTokens) {
    inFlight++;
    waitingPromptTokens += promptTokens;
  }

  /** Counts a prompt that was read, as the first event has come or the request has ended. */
  public void onPromptDone(long promptTokens) {
    waitingPromptTokens -= promptTokens;
  }

  /** Counts a request that ended. */
  public void onEnded() {
    inFlight--;
  }

  /** Remembers by how much an answer was later than its own work explains. */
  public void onDelay(double excessMs, long nowMs) {
    double old = delayMs.at(nowMs);
    delayMs.set(old + DELAY_WEIGHT * (Math.max(0, excessMs) - old), nowMs);
  }

  /** Remembers a failure. */
  public void onFailure(long nowMs) {
    failures.add(1, nowMs);
  }

  /** Remembers a success, which halves the weight of earlier failures. */
  public void onSuccess(long nowMs) {
    failures.set(failures.at(nowMs) / 2, nowMs);
  }

  /** Returns the remembered delay in milliseconds. */
  public double delayMs(long nowMs) {
    return delayMs.at(nowMs);
  }

  /** Returns the remembered number of recent failures. */
  public double failures(long nowMs) {
    return failures.at(nowMs);
  }

  /** Remembers that the endpoint reads a prompt. */
  public void remember(Prompt prompt) {
    prompt.parts().forEach(part -> parts.put(part.id(), Boolean.TRUE));
  }

  /** Returns whether this VM has sent a part of a prompt there. */
  public boolean holds(PromptPart part) {
    return parts.containsKey(part.id());
  }
}
