package org.zinniaspan.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

/** Lays out the answer of {@code POST /explain} for people. */
final class ExplanationText {

  private static final String NONE = "none";

  private ExplanationText() {}

  /** Returns the text for an explanation. */
  static String of(JsonNode explanation) {
    StringJoiner text = new StringJoiner("\n");
    JsonNode route = explanation.path("route");
    if (route.isObject()) {
      text.add(
          line(
              "Route",
              "%s (%s, rank %d) to %s, configuration %d",
              route.path("name").asText(),
              route.path("kind").asText(),
              route.path("rank").asInt(),
              route.path("service").asText(),
              route.path("version").asLong()));
      text.add(line("Organisation", "%s", route.path("organisation").asText(NONE)));
      text.add(line("Home regions", "%s", list(explanation.path("homeRegions"), "all")));
    }
    text.add(line("Evacuated", "%s", list(explanation.path("evacuatedZones"), NONE)));
    text.add(line("Outcome", "%s", outcome(explanation.path("outcome"))));
    explanation
        .path("agesMs")
        .fields()
        .forEachRemaining(
            age -> text.add(line("Age", "%s: %s", age.getKey(), milliseconds(age.getValue()))));
    for (JsonNode candidate : explanation.path("candidates")) {
      text.add(candidate(candidate));
    }
    return text.toString();
  }

  private static String line(String label, String format, Object... values) {
    return String.format(Locale.ROOT, "%-13s ", label) + String.format(Locale.ROOT, format, values);
  }

  private static String outcome(JsonNode outcome) {
    return switch (outcome.path("kind").asText()) {
      case "sent" ->
          String.format(
              Locale.ROOT,
              "to endpoint %s, first byte expected after %.0f ms",
              outcome.path("endpoint").asText(),
              outcome.path("expectedMs").asDouble());
      case "relayed" -> "through the VM " + outcome.path("vm").asText();
      case "waiting" ->
          "waits, " + outcome.path("reason").asText() + ", " + outcome.path("remainingMs") + " ms";
      default ->
          "refused with "
              + outcome.path("status").asInt()
              + ", "
              + outcome.path("reason").asText()
              + (outcome.has("retryAfterMs")
                  ? ", Retry-After " + outcome.path("retryAfterMs").asLong() + " ms"
                  : "");
    };
  }

  private static String candidate(JsonNode candidate) {
    String place =
        String.format(
            Locale.ROOT,
            "%s in %s",
            candidate.path("endpoint").asText(),
            candidate.path("zone").asText());
    if (candidate.has("exclusion")) {
      return line("Excluded", "%s: %s", place, candidate.path("exclusion").asText());
    }
    StringJoiner costs = new StringJoiner(", ");
    candidate
        .path("costMs")
        .fields()
        .forEachRemaining(
            cost ->
                costs.add(
                    String.format(
                        Locale.ROOT, "%s %.0f", cost.getKey(), cost.getValue().asDouble())));
    return line(
        "Candidate",
        "%s: %.0f ms = %s; report %s",
        place,
        candidate.path("totalMs").asDouble(),
        costs,
        milliseconds(candidate.path("reportAgeMs")));
  }

  private static String milliseconds(JsonNode age) {
    return age.isNumber() ? age.asLong() + " ms old" : "not known";
  }

  private static String list(JsonNode values, String ifEmpty) {
    List<String> names = new ArrayList<>();
    values.forEach(value -> names.add(value.asText()));
    return names.isEmpty() ? ifEmpty : String.join(", ", names);
  }
}
