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
 * @param firstTokenMs milliseconds to the first token or byte
 * @param tokenMs mean milliseconds between tokens
 * @param completionMs milliseconds to the end
 */
record Target(long firstTokenMs, long tokenMs, long completionMs) {

  /** Reads the targets of all classes from rules. */
  static Map<String, Target> of(String rules) throws IOException {
    Map<String, Target> targets = new LinkedHashMap<>();
    for (JsonNode row : new ObjectMapper().readTree(rules).path("classes")) {
      targets.put(
          row.path("name").asText(),
          new Target(
              row.path("firstTokenTargetMs").asLong(),
              row.path("tokenTargetMs").asLong(),
              row.path("completionTargetMs").asLong()));
    }
    return targets;
  }

  /** Returns whether a whole answer came in time; the time before the attempt counts. */
  boolean isMet(CallerResult result, double beforeMs) {
    double spanMs = result.totalMs() - result.firstTokenMs();
    boolean paced =
        tokenMs == 0 || result.tokens() < 2 || spanMs <= (double) tokenMs * (result.tokens() - 1);
    boolean completed = completionMs == 0 || beforeMs + result.totalMs() <= completionMs;
    return result.isAnswered()
        && beforeMs + result.firstTokenMs() <= firstTokenMs
        && paced
        && completed;
  }
}
