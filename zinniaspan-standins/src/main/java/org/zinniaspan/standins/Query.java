package org.zinniaspan.standins;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The parameters of a request's path. */
public final class Query {

  private final Map<String, String> values = new HashMap<>();

  private Query() {}

  /** Reads the part after the question mark. */
  public static Query of(String path) {
    Query query = new Query();
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

  /** Returns a parameter. */
  public Optional<String> get(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /** Returns a parameter as a number, or the default if it is absent. */
  public long number(String name, long defaultValue) {
    return get(name).map(Long::parseLong).orElse(defaultValue);
  }
}
