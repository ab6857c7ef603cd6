package org.zinniaspan.standins;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The query parameters of a request path. */
public final class QueryParameters {

  private final Map<String, String> values = new HashMap<>();

  private QueryParameters() {}

  /**
   * Parses the parameters after the question mark; a pair without a name or an equals sign is
   * skipped.
   */
  public static QueryParameters parse(String path) {
    QueryParameters query = new QueryParameters();
    int mark = path.indexOf('?');
    if (mark < 0) {
      return query;
    }
    for (String pair : path.substring(mark + 1).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        String value = URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        query.values.put(pair.substring(0, equals), value);
      }
    }
    return query;
  }

  /** Returns a parameter, or empty if it is absent. */
  public Optional<String> get(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * Returns a parameter as a number, or the default if it is absent.
   *
   * @throws NumberFormatException if the value is not a number
   */
  public long getLong(String name, long defaultValue) {
    return get(name).map(Long::parseLong).orElse(defaultValue);
  }
}
