package org.zinniaspan.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.zinniaspan.lifecycle.Drain;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.log.RecentEvents;

/**
 * Administration API of one VM: health, readiness, metrics, status, recent events and drain.
 *
 * <p>{@code /healthz} and {@code /readyz} need no token, so that the platform's load balancer can
 * call them. All other paths require it.
 */
public final class AdminHandler implements HttpRequestHandler {

  private static final String EXPLAIN_PREFIX = "GET /explain/";
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String token;
  private final BooleanSupplier ready;
  private final RouterMetrics metrics;
  private final Supplier<Map<String, Object>> status;
  private final Drain drain;
  private final RecentEvents recentEvents;
  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Creates a handler.
   *
   * @param token token that clients must send as {@code Authorization: Bearer TOKEN}
   * @param ready whether the load balancer may send requests to this VM
   * @param metrics metrics of this process
   * @param status supplies the content of {@code /status}
   * @param drain graceful shutdown that {@code POST /drain} starts
   */
  public AdminHandler(
      String token,
      BooleanSupplier ready,
      RouterMetrics metrics,
      Supplier<Map<String, Object>> status,
      Drain drain) {
    this.token = token;
    this.ready = ready;
    this.metrics = metrics;
    this.status = status;
    this.drain = drain;
    this.recentEvents = EventLog.enableRecentEvents();
  }

  @Override
  public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
      throws IOException {
    String call = request.getMethod() + " " + request.getPath();
    switch (call) {
      case "GET /healthz" -> writeText(response, OK, "ok");
      case "GET /readyz" -> {
        boolean isReady = ready.getAsBoolean();
        writeText(response, isReady ? OK : UNAVAILABLE, isReady ? "ready" : "not ready");
      }
      default -> handleWithToken(call, request, response);
    }
  }

  private void handleWithToken(
      String call, ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
    if (!isAuthorised(request)) {
      writeText(response, UNAUTHORIZED, "send the token as 'Authorization: Bearer TOKEN'");
      return;
    }
    if (call.startsWith(EXPLAIN_PREFIX)) {
      writeJson(response, recentEvents.findByIdPrefix(call.substring(EXPLAIN_PREFIX.length())));
      return;
    }
    switch (call) {
      case "GET /metrics" ->
          response.setEntity(
              new ByteArrayEntity(metrics.toPrometheusText(), ContentType.parse("text/plain")));
      case "GET /status" -> writeJson(response, status.get());
      case "POST /drain" -> {
        drain.begin();
        writeText(response, ACCEPTED, "draining");
      }
      default ->
          writeText(
              response,
              NOT_FOUND,
              "'"
                  + call
                  + "' is unknown; valid are GET /healthz, GET /readyz, GET /metrics,"
                  + " GET /status, GET /explain/ID and POST /drain");
    }
  }

  private void writeJson(ClassicHttpResponse response, Object value) throws IOException {
    byte[] body = mapper.writerWithDefaultPrettyPrinter().writeValueAsBytes(value);
    response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
  }

  private boolean isAuthorised(ClassicHttpRequest request) {
    Header header = request.getFirstHeader("Authorization");
    byte[] expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    return header != null
        && MessageDigest.isEqual(expected, header.getValue().getBytes(StandardCharsets.UTF_8));
  }

  private static void writeText(ClassicHttpResponse response, int status, String text) {
    response.setCode(status);
    response.setEntity(new StringEntity(text + "\n", ContentType.TEXT_PLAIN));
  }
}
