package org.zinniaspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.apache.hc.core5.http.HttpEntity;

/** Reads HTTP bodies up to a size limit. */
public final class BodyReader {

  private BodyReader() {}

  /**
   * Reads the whole body, or returns empty if it is longer than the limit.
   *
   * @param entity the body to read; null is read as an empty body
   * @param maxBytes largest accepted body, in bytes
   * @throws IOException if reading from the connection fails
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
