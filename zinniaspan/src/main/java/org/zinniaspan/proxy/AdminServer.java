package org.zinniaspan.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.forwarding.Explanation;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptPart;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/**
 * Administration API of the forward daemon: {@code POST /explain} tells where a request would go.
 *
 * <p>Every call needs the administration token.
 */
final class AdminServer implements InboundHandler {

  private static final String EXPLAIN = "POST /explain";

  private final byte[] authorization;
  private final Function<RequestFacts, Explanation> explainer;
  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Creates a server.
   *
   * @param token token that callers must send as {@code Authorization: Bearer TOKEN}
   */
  AdminServer(String token, Function<RequestFacts, Explanation> explainer) {
    this.authorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    this.explainer = explainer;
  }

  @Override
  public InboundLimits limits() {
    return InboundLimits.DEFAULT;
  }

  @Override
  public void onOpen(InboundConnection connection) {
    // No state is kept for a connection.
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    if (!isAuthorised(head)) {
      respond(
          connection,
          HttpStatus.SC_UNAUTHORIZED,
          "send the token as 'Authorization: Bearer TOKEN'\n");
      return;
    }
    String call = head.getMethod() + " " + head.getPath();
    if (!call.equals(EXPLAIN)) {
      respond(
          connection,
          HttpStatus.SC_NOT_FOUND,
          "'" + call + "' is unknown; valid is " + EXPLAIN + "\n");
      return;
    }
    try {
      Explanation explanation = explainer.apply(facts(mapper.readTree(body)));
      respond(
          connection, HttpStatus.SC_OK, ExplanationJson.of(mapper, explanation).toPrettyString());
    } catch (JsonProcessingException e) {
      respond(
          connection,
          HttpStatus.SC_BAD_REQUEST,
          "the body is not JSON: " + e.getOriginalMessage() + "\n");
    } catch (IOException | IllegalArgumentException e) {
      respond(connection, HttpStatus.SC_BAD_REQUEST, e.getMessage() + "\n");
    }
  }

  private boolean isAuthorised(HttpRequest head) {
    Header header = head.getFirstHeader(HttpHeaders.AUTHORIZATION);
    return header != null
        && MessageDigest.isEqual(authorization, header.getValue().getBytes(StandardCharsets.UTF_8));
  }

  private static RequestFacts facts(JsonNode node) {
    if (!node.path("host").isTextual() || !node.path("path").isTextual()) {
      throw new IllegalArgumentException("the fields 'host' and 'path' must be texts");
    }
    return new RequestFacts(
        Optional.empty(),
        node.path("host").asText(),
        node.path("path").asText(),
        Optional.ofNullable(node.path("key").textValue()),
        number(node, "deadlineMs"),
        number(node, "promptTokens").map(tokens -> prompt(tokens, node)),
        Optional.empty());
  }

  private static Prompt prompt(long tokens, JsonNode node) {
    List<PromptPart> parts = new ArrayList<>();
    for (JsonNode part : node.path("parts")) {
      String[] fields = part.asText().split(":");
      if (fields.length != 2 || !fields[1].matches("[0-9]{1,15}")) {
        throw new IllegalArgumentException(
            "'" + part.asText() + "' in 'parts' is not of the form ID:TOKENS");
      }
      parts.add(new PromptPart(fields[0], Long.parseLong(fields[1])));
    }
    return new Prompt(tokens, number(node, "outputTokens").orElse(0L), parts);
  }

  private static Optional<Long> number(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return Optional.empty();
    }
    if (!value.canConvertToLong() || value.asLong() < 0) {
      throw new IllegalArgumentException(
          "'" + field + "' is " + value + "; it must be a whole number of at least 0");
    }
    return Optional.of(value.asLong());
  }

  private static void respond(InboundConnection connection, int status, String text) {
    HttpResponse response = new BasicHttpResponse(status);
    response.setHeader(
        HttpHeaders.CONTENT_TYPE,
        status == HttpStatus.SC_OK ? "application/json" : "text/plain; charset=utf-8");
    connection.sendResponse(response, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    respond(connection, status, reason + "\n");
  }

  @Override
  public void onDisconnect(InboundConnection connection) {
    // No state is kept for a connection.
  }
}
