package org.zinniaspan.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Organisation;

/** Finds out who calls. */
final class Caller {

  private static final String BEARER = "Bearer ";

  private Caller() {}

  /** Returns the organisation whose key the request carries as a bearer token. */
  static Optional<Organisation> organisation(HttpRequest request, Configuration configuration) {
    Header header = request.getFirstHeader("Authorization");
    if (header == null || !header.getValue().startsWith(BEARER)) {
      return Optional.empty();
    }
    String key = header.getValue().substring(BEARER.length()).trim();
    String hash = DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
    return configuration.organisationByKeyHash(hash);
  }
}
