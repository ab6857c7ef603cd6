package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.zinniaspan.forwarding.ListedEndpoint;

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
            node.has("born") ? number(node, "born", Long.MAX_VALUE) : 0);
    entry
        .findViolation()
        .ifPresent(
            reason -> {
              throw new IllegalArgumentException(reason);
            });
    return entry;
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
