package org.zinniaspan.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Organisation;

/** Authenticates callers by API key. */
final class CallerAuthenticator {

  private static final String BEARER_PREFIX = "Bearer ";

  private CallerAuthenticator() {}

  /**
   * Returns the organisation whose API key the request carries as a bearer token.
   *
   * <p>Keys are looked up by their SHA-256 hash, since the configuration holds no plain keys.
   */
  static Optional<Organisation> authenticate(HttpRequest request, Configuration configuration) {
    Header header = request.getFirstHeader("Authorization");
    if (header == null || !header.getValue().startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    String key = header.getValue().substring(BEARER_PREFIX.length()).trim();
    String hash = DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
    return configuration.organisationByKeyHash(hash);
  }
}
