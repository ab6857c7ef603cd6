package org.zinniaspan.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.zinniaspan.standins.caller.CallerResult;

/**
 * The latency targets of a class, measured at the caller.
 *
 * @param firstTokenTargetMs longest time to the first token or byte, in milliseconds
 * @param tokenTargetMs longest mean time between tokens, in milliseconds; 0 for no target
 * @param completionTargetMs longest time to the end of the answer, in milliseconds; 0 for no target
 */
record LatencyTargets(long firstTokenTargetMs, long tokenTargetMs, long completionTargetMs) {

  /** Reads the targets of all classes, by class name, from a rules document in JSON. */
  static Map<String, LatencyTargets> byClass(String rules) throws IOException {
    Map<String, LatencyTargets> targets = new LinkedHashMap<>();
    for (JsonNode row : new ObjectMapper().readTree(rules).path("classes")) {
      targets.put(
          row.path("name").asText(),
          new LatencyTargets(
              row.path("firstTokenTargetMs").asLong(),
              row.path("tokenTargetMs").asLong(),
              row.path("completionTargetMs").asLong()));
    }
    return targets;
  }

  /**
   * Returns whether the answer is complete and met all targets.
   *
   * @param result result of the last attempt
   * @param beforeAttemptMs milliseconds from the arrival to the start of that attempt, which count
   *     towards the first-token and completion targets
   */
  boolean areMet(CallerResult result, double beforeAttemptMs) {
    double generationMs = result.totalMs() - result.firstTokenMs();
    boolean meetsTokenTarget =
        tokenTargetMs == 0
            || result.tokens() < 2
            || generationMs <= (double) tokenTargetMs * (result.tokens() - 1);
    boolean meetsCompletionTarget =
        completionTargetMs == 0 || beforeAttemptMs + result.totalMs() <= completionTargetMs;
    return result.isAnswered()
        && beforeAttemptMs + result.firstTokenMs() <= firstTokenTargetMs
        && meetsTokenTarget
        && meetsCompletionTarget;
  }
}
