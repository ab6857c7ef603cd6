package kit3;

import java.util.List;
import java.util.stream.Collectors;

/** The operator's configuration, as PROTOCOL describes it. */
final class Configuration {

  static final String HOST = "ficu95.example";

  private Configuration() {}

  /** A part of a route's traffic. */
  record Share(String service, int weight) {}

  /** Returns a configuration with the routes of the class and the given keys. */
  static String json(int version, List<String> keys, String... routes) {
    String tenants =
        keys.stream()
            .map(key -> "{\"name\":\"tenant-" + key + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}")
            .collect(Collectors.joining(","));
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
        + "{\"name\":\"console-agences\",\"max_connections\":110},"
        + "{\"name\":\"console-agences-2\",\"max_connections\":110},"
        + "{\"name\":\"redaction-ml\",\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_capacity\":670920}},"
        + "{\"name\":\"redaction-ml-2\",\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_capacity\":670920}}],"
        + "\"tenants\":[" + tenants + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }

  /** A route to one service. */
  static String route(String name, String kind, String service, long timeoutMs, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"route_kind\":\"" + kind
        + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":141,\"priority\":2,\"service\":\"" + service
        + "\",\"max_attempts\":" + attempts + "}";
  }

  /** A resumable stream's route that is split between services. */
  static String stream(String name, long timeoutMs, Share... shares) {
    String split =
        List.of(shares).stream()
            .map(share -> "{\"service\":\"" + share.service() + "\",\"weight\":" + share.weight() + "}")
            .collect(Collectors.joining(","));
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name
        + "/\",\"route_kind\":\"streaming\",\"resumable\":true,\"gap_target_ms\":800,\"sticky\":true,\"timeout_ms\":"
        + timeoutMs + ",\"target_latency_ms\":2000,\"priority\":2,\"service\":\"" + shares[0].service()
        + "\",\"traffic_split\":[" + split + "],\"max_attempts\":2}";
  }

  /** Returns the head of a request up to its last header line. */
  static String head(String method, String route, String attempt, String key) {
    return method + " /" + route + "/2f HTTP/1.1\r\nHost: " + HOST + "\r\nX-Zinniaspan-Attempt-Id: " + attempt
        + "\r\nAuthorization: Bearer " + key;
  }
}
