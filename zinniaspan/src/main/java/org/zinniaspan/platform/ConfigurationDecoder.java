package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.EngineCapacity;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.ServiceSpec;
import org.zinniaspan.forwarding.WeightedService;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.HeaderText;

/** Decodes the operator's configuration from JSON. */
final class ConfigurationDecoder {

  private static final int DEFAULT_PRIORITY = 9;

  /** Largest length of a value that a finding quotes, in characters. */
  private static final int MAX_QUOTED_LENGTH = 100;

  private final Set<String> knownRegions;
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationDecoder(Set<String> knownRegions) {
    this.knownRegions = knownRegions;
  }

  /**
   * Returns the routing table that a configuration describes. Missing fields other than the version
   * get defaults.
   *
   * @param document bytes of the configuration
   * @param knownRegions regions of the deployment, without which home regions are a finding
   * @throws IllegalArgumentException if the version is missing or not an integer
   */
  static RoutingTable decode(JsonNode root, byte[] document, Set<String> knownRegions) {
    return new ConfigurationDecoder(knownRegions).table(root, document);
  }

  private RoutingTable table(JsonNode root, byte[] document) {
    if (!root.path("version").isIntegralNumber()) {
      throw new IllegalArgumentException(
          "configuration field 'version' is missing or not an integer");
    }
    List<Route> routes = new ArrayList<>();
    root.path("routes").forEach(node -> routes.add(route(node)));
    Map<String, ServiceSpec> services = new HashMap<>();
    root.path("services").forEach(node -> services.put(text(node, "name"), service(node)));
    JsonNode tenants = root.path("tenants");
    return new RoutingTable(
        root.path("version").asLong(),
        routes,
        services,
        organisationsByKey(tenants),
        isStated(tenants),
        limits(root.path("limits")),
        document,
        findings);
  }

  /**
   * Returns the organisations by their API keys. A value that cannot be read makes no key valid,
   * since a request that has run without a valid key cannot be called back.
   */
  private Map<String, OrganisationSpec> organisationsByKey(JsonNode tenants) {
    Map<String, OrganisationSpec> organisationsByKey = new HashMap<>();
    if (isStated(tenants) && !tenants.isArray()) {
      reportKind("tenants", tenants, "is not a list of organisations; no API key is valid");
      return organisationsByKey;
    }
    for (JsonNode node : tenants) {
      OrganisationSpec organisation =
          new OrganisationSpec(text(node, "name"), priority(node), homeRegions(node, "tenants"));
      if (!HeaderText.isSendable(organisation.name())) {
        report(
            "tenants[].name",
            node.path("name"),
            "cannot be sent in a header; its keys are invalid");
        continue;
      }
      for (JsonNode key : node.path("api_keys")) {
        if (key.isTextual() && !key.asText().isEmpty()) {
          organisationsByKey.put(key.asText(), organisation);
        } else {
          reportKind("tenants[" + organisation.name() + "].api_keys", key, "is not an API key");
        }
      }
    }
    return organisationsByKey;
  }

  private Route route(JsonNode node) {
    return new Route(
        text(node, "name"),
        text(node, "host").toLowerCase(Locale.ROOT),
        text(node, "prefix"),
        kind(text(node, "route_kind")),
        services(node),
        node.path("timeout_ms").asLong(30_000),
        node.path("target_latency_ms").asLong(1_000),
        node.path("priority").asInt(DEFAULT_PRIORITY),
        Math.max(1, node.path("max_attempts").asInt(1)),
        node.path("anonymous").asBoolean(false),
        node.path("resumable").asBoolean(false),
        node.path("gap_target_ms").asLong(0),
        homeRegions(node, "routes"));
  }

  /**
   * Returns the home regions of a route or an organisation. A value that cannot be read never
   * widens them, since a request that has left its home regions cannot be called back: where no
   * region can be read, none is admitted.
   *
   * @param list name of the list that contains the node, for findings
   */
  private HomeRegions homeRegions(JsonNode node, String list) {
    JsonNode regions = node.path("allowed_regions");
    if (!isStated(regions) || (regions.isArray() && regions.isEmpty())) {
      return HomeRegions.ALL;
    }
    String path = list + '[' + text(node, "name") + "].allowed_regions";
    if (!regions.isArray()) {
      report(path, regions, "is not a list of regions");
    }
    Set<String> names = new HashSet<>();
    for (JsonNode region : regions.isArray() ? regions : List.of(regions)) {
      if (!region.isTextual()) {
        report(path, region, "is not the name of a region, and admits none");
        continue;
      }
      if (!knownRegions.contains(region.asText())) {
        report(path, region, "is none of the regions " + new TreeSet<>(knownRegions));
      }
      names.add(region.asText());
    }
    return HomeRegions.of(names);
  }

  private static boolean isStated(JsonNode node) {
    return !node.isMissingNode() && !node.isNull();
  }

  private void report(String path, JsonNode value, String problem) {
    String text = value.toString();
    String quoted = text.substring(0, Math.min(text.length(), MAX_QUOTED_LENGTH));
    findings.add(new Finding("configuration", path, quoted + ' ' + problem));
  }

  /** Reports a value without quoting it, as it may contain API keys. */
  private void reportKind(String path, JsonNode value, String problem) {
    String kind = value.getNodeType().name().toLowerCase(Locale.ROOT);
    findings.add(new Finding("configuration", path, "a value of type " + kind + ' ' + problem));
  }

  private static List<WeightedService> services(JsonNode route) {
    List<WeightedService> services = new ArrayList<>();
    for (JsonNode share : route.path("traffic_split")) {
      services.add(new WeightedService(text(share, "service"), share.path("weight").asInt(1)));
    }
    if (services.isEmpty()) {
      services.add(new WeightedService(text(route, "service"), 1));
    }
    return services;
  }

  /**
   * Returns the kind of a route. An unknown kind is treated as non-idempotent, which is always
   * safe.
   */
  private static RouteKind kind(String text) {
    return switch (text) {
      case "safe" -> RouteKind.SAFE;
      case "streaming" -> RouteKind.STREAMING;
      default -> RouteKind.UNSAFE;
    };
  }

  private static ServiceSpec service(JsonNode node) {
    JsonNode engine = node.path("engine");
    Optional<EngineCapacity> model =
        engine.isObject()
            ? Optional.of(
                new EngineCapacity(
                    engine.path("slots").asInt(1),
                    engine.path("kv_capacity").asLong(Long.MAX_VALUE)))
            : Optional.empty();
    return new ServiceSpec(
        text(node, "name"),
        node.path("max_connections").asInt(Integer.MAX_VALUE),
        model,
        cold(node));
  }

  /** Returns what cold endpoints of a service take; values that are no such limit are logged. */
  private static Optional<ColdSpec> cold(JsonNode node) {
    try {
      return ColdSpec.of(number(node, "cold_start_s"), number(node, "cold_per_s"));
    } catch (IllegalArgumentException e) {
      EventLog.event("service-setting-unusable")
          .with("service", text(node, "name"))
          .with("reason", e.getMessage())
          .warn();
      return Optional.empty();
    }
  }

  private static double number(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isMissingNode() && !value.isNumber()) {
      throw new IllegalArgumentException(field + " is not a number");
    }
    return value.asDouble(0);
  }

  private static InboundLimits limits(JsonNode node) {
    InboundLimits defaults = InboundLimits.DEFAULT;
    return new InboundLimits(
        node.path("max_header_bytes").asInt(defaults.maxHeaderBytes()),
        node.path("max_body_bytes").asInt(defaults.maxBodyBytes()),
        node.path("header_timeout_ms").asLong(defaults.headerTimeoutMs()),
        node.path("idle_timeout_ms").asLong(defaults.idleTimeoutMs()));
  }

  private static Optional<Integer> priority(JsonNode node) {
    return node.path("priority").isInt()
        ? Optional.of(node.path("priority").asInt())
        : Optional.empty();
  }

  private static String text(JsonNode node, String field) {
    return node.path(field).asText("");
  }
}
