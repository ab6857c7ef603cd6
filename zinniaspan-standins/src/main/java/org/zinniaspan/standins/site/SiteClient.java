package org.zinniaspan.standins.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that calls daemons with an organisation's key and a new attempt id for each call.
 *
 * <p>Example: {@code new SiteClient("run-1", "key-1").call(daemon, "POST", "/unsafe/x", "")}
 */
public final class SiteClient {

  private final String attemptIdPrefix;
  private final String organisationKey;
  private final AtomicLong attemptCount = new AtomicLong();

  /** Creates a client with the prefix of its attempt ids and the key of its organisation. */
  public SiteClient(String attemptIdPrefix, String organisationKey) {
    this.attemptIdPrefix = attemptIdPrefix;
    this.organisationKey = organisationKey;
  }

  /** The attempt id of a call and all text received before the connection was closed. */
  public record RawResponse(String attemptId, String text) {

    /** Returns the HTTP status of the response; 0 if there was none. */
    public int status() {
      return text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
    }

    /**
     * Returns whether the status is 200 and the body is complete: the text of this attempt or a
     * terminated stream.
     */
    public boolean isCompleteSuccess() {
      return status() == 200
          && (text.endsWith("\r\n\r\n" + EndpointStandIn.responseText(attemptId))
              || text.endsWith("\r\n0\r\n\r\n"));
    }
  }

  /** Returns the next attempt id. */
  public String nextAttemptId() {
    return attemptIdPrefix + '-' + attemptCount.incrementAndGet();
  }

  /** Returns the bytes of a request as text; a POST request gets a body of 4 bytes. */
  public String formatRequest(String attemptId, String method, String path, String fields) {
    String body = method.equals("POST") ? "Content-Length: 4\r\n" : "";
    return method
        + ' '
        + path
        + " HTTP/1.1\r\nHost: "
        + LocalSite.ROUTE_HOST
        + "\r\nX-Zinniaspan-Attempt-Id: "
        + attemptId
        + "\r\nAuthorization: Bearer "
        + organisationKey
        + "\r\n"
        + fields
        + body
        + "\r\n"
        + (body.isEmpty() ? "" : "body");
  }

  /** Sends a request on a new connection and reads until the daemon closes the connection. */
  public RawResponse call(InetSocketAddress daemon, String method, String path, String fields)
      throws IOException {
    String attemptId = nextAttemptId();
    try (RawClient connection = new RawClient(daemon)) {
      connection.send(formatRequest(attemptId, method, path, "Connection: close\r\n" + fields));
      return new RawResponse(attemptId, connection.readAll());
    }
  }
}
