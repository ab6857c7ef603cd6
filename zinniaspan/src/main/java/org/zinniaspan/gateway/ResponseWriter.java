package org.zinniaspan.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/** Writes the gateway's own JSON responses; error bodies have the format of the OpenAI API. */
final class ResponseWriter {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int BAD_GATEWAY = 502;
  private static final long MS_PER_SECOND = 1_000;

  private ResponseWriter() {}

  /** Writes an error response for a request that was not run and for which a retry is pointless. */
  static void writeNotRun(ClassicHttpResponse response, NotRunReason reason, String message) {
    writeOutcome(response, Outcome.NotRun.withoutRetry(reason), message);
  }

  /**
   * Writes the outcome header and the response that matches it.
   *
   * <p>A request that was not run gets an error, with a {@code Retry-After} header if it may be
   * retried; an unknown outcome gets status 502; an answered request gets its status without a
   * body.
   */
  static void writeOutcome(ClassicHttpResponse response, Outcome outcome, String message) {
    response.setHeader(GatewayHeaders.OUTCOME, outcome.label());
    if (outcome instanceof Outcome.NotRun notRun) {
      setRetryAfter(response, notRun.retryAfterMs());
      writeError(response, notRun.reason().status(), notRun.reason().code(), message);
    } else if (outcome instanceof Outcome.Unknown unknown) {
      writeError(response, BAD_GATEWAY, "outcome_unknown", unknown.reason());
    } else if (outcome instanceof Outcome.Answered answered) {
      response.setCode(answered.status());
    }
  }

  /**
   * Writes the response to a request that admission control refused, and closes the connection.
   *
   * <p>An earlier attempt with the same idempotency key may have run. A refused request with a key
   * therefore has the outcome {@code unknown} instead of {@code not-run}; only an admitted attempt
   * can determine the outcome.
   */
  static void writeRefusal(
      ClassicHttpResponse response, Outcome.NotRun refusal, boolean hasIdempotencyKey) {
    String message = "this VM does not take the request: " + refusal.reason().code();
    writeOutcome(response, refusal, message);
    if (hasIdempotencyKey) {
      response.setHeader(GatewayHeaders.OUTCOME, new Outcome.Unknown("").label());
    }
    response.setHeader("Connection", "close");
  }

  /** Writes an error body with the given HTTP status, error code and message. */
  static void writeError(ClassicHttpResponse response, int status, String code, String message) {
    response.setCode(status);
    ObjectNode body = MAPPER.createObjectNode();
    body.putObject("error")
        .put("message", message)
        .put("type", status >= 500 ? "server_error" : "invalid_request_error")
        .putNull("param")
        .put("code", code);
    writeJson(response, body);
  }

  static void writeJson(ClassicHttpResponse response, ObjectNode body) {
    response.setEntity(new ByteArrayEntity(toBytes(body), ContentType.APPLICATION_JSON));
  }

  static byte[] toBytes(ObjectNode body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialise a JSON object", e);
    }
  }

  private static void setRetryAfter(ClassicHttpResponse response, Optional<Long> retryAfterMs) {
    retryAfterMs.ifPresent(
        ms -> {
          long seconds = Math.max(1, (ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
          response.setHeader(GatewayHeaders.RETRY_AFTER, seconds);
        });
  }
}
