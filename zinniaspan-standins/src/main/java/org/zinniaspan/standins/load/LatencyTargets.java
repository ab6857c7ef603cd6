package org.zinniaspan.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.zinniaspan.standins.caller.CallerResult;

/**
 * The latency targets of a class, as callers see them; zero means that there is none.
 *
 * @param firstTokenTargetMs milliseconds to the first token or byte
 * @param tokenTargetMs mean milliseconds between tokens
 * @param completionTargetMs milliseconds to the end
 */
record LatencyTargets(long firstTokenTargetMs, long tokenTargetMs, long completionTargetMs) {

  /** Reads the targets of all classes from rules. */
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

  /** Returns whether a whole answer came in time; the time before the attempt counts. */
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
