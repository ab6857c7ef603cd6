package org.zinniaspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.apache.hc.core5.http.HttpEntity;

/** Reads bodies up to a limit. */
public final class BodyReader {

  private BodyReader() {}

  /**
   * Returns the body, or empty if it is longer than the limit.
   *
   * @param entity the body; null for none
   * @param maxBytes limit in bytes
   * @throws IOException if the connection broke
   */
  public static Optional<byte[]> read(HttpEntity entity, int maxBytes) throws IOException {
    if (entity == null) {
      return Optional.of(new byte[0]);
    }
    if (entity.getContentLength() > maxBytes) {
      return Optional.empty();
    }
    InputStream in = entity.getContent();
    byte[] body = in.readNBytes(maxBytes + 1);
    return body.length > maxBytes ? Optional.empty() : Optional.of(body);
  }
}
