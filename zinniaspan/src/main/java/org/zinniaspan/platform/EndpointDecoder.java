package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.http.Addresses;

/** Decodes entries of the platform's list of servers. */
final class EndpointDecoder {

  private EndpointDecoder() {}

  /**
   * Returns the endpoint that an entry describes; empty if a field is missing, has another type, or
   * has an invalid value.
   */
  static Optional<ListedEndpoint> decode(String id, JsonNode node) {
    String state = node.path("state").asText("");
    boolean draining = state.equals("draining");
    boolean usable =
        node.path("service").isTextual()
            && node.path("zone").isTextual()
            && isAddress(node.path("address"))
            && (node.path("version").isMissingNode() || node.path("version").isTextual())
            && node.path("slots").isIntegralNumber()
            && (draining || state.equals("ready"));
    if (!usable) {
      return Optional.empty();
    }
    return Optional.of(
        new ListedEndpoint(
            id,
            node.path("service").asText(),
            node.path("address").asText(),
            node.path("zone").asText(),
            node.path("version").asText(""),
            node.path("slots").asInt(),
            draining,
            node.path("born").asLong(0)));
  }

  private static boolean isAddress(JsonNode node) {
    if (!node.isTextual() || !node.asText().matches("[0-9.]{7,15}:[0-9]{1,5}")) {
      return false;
    }
    int port = Integer.parseInt(node.asText().replaceFirst(".*:", ""));
    return port > 0 && port <= 65_535 && Addresses.parse(node.asText()).getPort() == port;
  }
}
