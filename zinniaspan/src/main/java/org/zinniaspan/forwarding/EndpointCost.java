package org.zinniaspan.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cost of sending a request to an endpoint, in milliseconds, split into its parts.
 *
 * @param delayMs recently observed excess over the expected time
 * @param failuresMs penalty for recent failures
 * @param callMs share of a plain call's time that load and slowness add
 * @param prefillMs prefill of the prompts that wait there, and of what is not cached of this one
 * @param slotWaitMs wait for a slot
 * @param firstEventMs time from the prefill to the first event
 * @param distanceMs cost of reaching the endpoint's availability zone
 * @param repeatedPrefillMs cost of prefilling shared parts that another endpoint has cached
 * @param pausesMs recently observed pauses, for a strict stream
 * @param misplacementMs cost of an engine that is meant for the other kind of stream
 * @param uncachedTokens prompt tokens that the endpoint is expected to prefill
 */
public record EndpointCost(
    double delayMs,
    double failuresMs,
    double callMs,
    double prefillMs,
    double slotWaitMs,
    double firstEventMs,
    double distanceMs,
    double repeatedPrefillMs,
    double pausesMs,
    double misplacementMs,
    long uncachedTokens) {

  static EndpointCost observed(double delayMs, double failuresMs) {
    return new EndpointCost(delayMs, failuresMs, 0, 0, 0, 0, 0, 0, 0, 0, 0);
  }

  EndpointCost withCall(double callMs) {
    return new EndpointCost(delayMs, failuresMs, callMs, 0, 0, 0, 0, 0, 0, 0, 0);
  }

  EndpointCost withPrompt(double prefillMs, double slotWaitMs, double firstEventMs, long uncached) {
    return new EndpointCost(
        delayMs, failuresMs, 0, prefillMs, slotWaitMs, firstEventMs, 0, 0, 0, 0, uncached);
  }

  EndpointCost withOther(
      double distanceMs, double repeatedPrefillMs, double pausesMs, double misplacementMs) {
    return new EndpointCost(
        delayMs,
        failuresMs,
        callMs,
        prefillMs,
        slotWaitMs,
        firstEventMs,
        distanceMs,
        repeatedPrefillMs,
        pausesMs,
        misplacementMs,
        uncachedTokens);
  }

  /** Returns the expected time to the first byte, in milliseconds. */
  public double expectedMs() {
    return delayMs + failuresMs + callMs + prefillMs + slotWaitMs + firstEventMs;
  }

  /** Returns what the cost adds to the expected time, in milliseconds. */
  public double otherMs() {
    return distanceMs + repeatedPrefillMs + pausesMs + misplacementMs;
  }

  /** Returns the parts that are not 0, by their names. */
  public Map<String, Double> parts() {
    Map<String, Double> parts = new LinkedHashMap<>();
    parts.put("delay", delayMs);
    parts.put("failures", failuresMs);
    parts.put("call", callMs);
    parts.put("prefill", prefillMs);
    parts.put("slot-wait", slotWaitMs);
    parts.put("first-event", firstEventMs);
    parts.put("distance", distanceMs);
    parts.put("repeated-prefill", repeatedPrefillMs);
    parts.put("pauses", pausesMs);
    parts.put("misplacement", misplacementMs);
    parts.values().removeIf(ms -> ms == 0);
    return parts;
  }
}
