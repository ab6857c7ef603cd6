package org.zinniaspan.standins.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.standins.QueryParameters;

/**
 * Stand-in for a plain service that counts its executions by idempotency key.
 *
 * <p>It does not deduplicate by the key, so a call that arrives twice runs twice. {@code GET
 * /counts} returns the executions by key; {@code POST /control?delayMs=N} sets the time that each
 * call takes. Calls without a key are counted under {@code none}.
 */
public final class ServiceServer implements HttpRequestHandler, AutoCloseable {

  private static final long NANOS_PER_MS = 1_000_000;

  private final Map<String, Integer> runsByKey = new ConcurrentSkipListMap<>();
  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpListener listener;
  private volatile long delayMs;

  /**
   * Starts the stand-in.
   *
   * @param address listening address; port 0 takes any free port
   * @param delayMs time that each call takes, in milliseconds
   */
  public ServiceServer(InetSocketAddress address, long delayMs) throws IOException {
    this.delayMs = delayMs;
    this.listener = HttpListener.start(address, this);
  }

  /** Returns the bound port. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of executions by idempotency key. */
  public Map<String, Integer> runsByKey() {
    return new TreeMap<>(runsByKey);
  }

  /** Sets the time that each call takes, in milliseconds. */
  public void setDelayMs(long value) {
    delayMs = value;
  }

  @Override
  public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
      throws IOException {
    EntityUtils.consume(request.getEntity());
    String path = request.getPath();
    if (path.equals("/counts")) {
      writeJson(response, runsByKey);
      return;
    }
    if (path.startsWith("/control")) {
      setDelayMs(QueryParameters.parse(path).getLong("delayMs", delayMs));
      return;
    }
    Header key = request.getFirstHeader("Idempotency-Key");
    String name = key == null ? "none" : key.getValue();
    int runs = runsByKey.merge(name, 1, Integer::sum);
    LockSupport.parkNanos(delayMs * NANOS_PER_MS);
    writeJson(response, Map.of("key", name, "runs", runs, "path", path));
  }

  private void writeJson(ClassicHttpResponse response, Object body) throws IOException {
    response.setEntity(
        new ByteArrayEntity(mapper.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
  }

  @Override
  public void close() {
    listener.close();
  }
}
