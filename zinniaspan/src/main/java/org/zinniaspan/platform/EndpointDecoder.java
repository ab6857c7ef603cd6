package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.HeaderText;

/** Decodes entries of the platform's list of servers. */
final class EndpointDecoder {

  private EndpointDecoder() {}

  /**
   * Returns the endpoint that an entry describes.
   *
   * @throws IllegalArgumentException if a field is missing, has another type, or has an invalid
   *     value; the message names it
   */
  static ListedEndpoint decode(String id, JsonNode node) {
    String state = text(node, "state");
    boolean draining = state.equals("draining");
    if (!draining && !state.equals("ready")) {
      throw new IllegalArgumentException("state is neither 'ready' nor 'draining'");
    }
    ListedEndpoint entry =
        new ListedEndpoint(
            id,
            text(node, "service"),
            text(node, "address"),
            text(node, "zone"),
            node.has("version") ? text(node, "version") : "",
            (int) number(node, "slots", Integer.MAX_VALUE),
            draining,
            node.has("born") ? number(node, "born", Long.MAX_VALUE) : 0,
            coldRemainingMs(id, node.path("cold_remaining_ms")));
    if (!HeaderText.isSendable(entry.id()) || !HeaderText.isSendable(entry.softwareVersion())) {
      throw new IllegalArgumentException("the id or the version cannot be sent in a header");
    }
    entry
        .findViolation()
        .ifPresent(
            reason -> {
              throw new IllegalArgumentException(reason);
            });
    return entry;
  }

  /**
   * Returns the time for which a server remains cold.
   *
   * @return empty if the entry states none, or one that cannot be true
   */
  private static Optional<Long> coldRemainingMs(String id, JsonNode node) {
    if (node.isMissingNode()) {
      return Optional.empty();
    }
    if (!node.isNumber()) {
      throw new IllegalArgumentException("cold_remaining_ms is not a number");
    }
    double remainingMs = node.asDouble();
    if (remainingMs >= 0 && remainingMs <= ColdSpec.MAX_COLD_MS) {
      return Optional.of((long) Math.ceil(remainingMs));
    }
    EventLog.event("endpoint-cold-time-unusable")
        .with("endpoint", id)
        .with("remainingMs", remainingMs)
        .info();
    return Optional.empty();
  }

  private static String text(JsonNode node, String field) {
    if (!node.path(field).isTextual()) {
      throw new IllegalArgumentException(field + " is not a text");
    }
    return node.path(field).asText();
  }

  private static long number(JsonNode node, String field, long max) {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " is not a whole number of at most 64 bits");
    }
    long number = value.asLong();
    if (number < 0 || number > max) {
      throw new IllegalArgumentException(field + " " + number + " is not in 0.." + max);
    }
    return number;
  }
}
