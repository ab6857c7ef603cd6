package org.zinniaspan.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.http.OpenAiEngineClient;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.QueryParameters;

/**
 * HTTP server of an engine stand-in, with the streamed chat completions protocol.
 *
 * <p>Additional request fields: {@code priority} (lower numbers run first) and {@code
 * resume_from_token} (number of tokens to skip). {@code #tokens=N} in a prompt fixes the length of
 * its answer.
 *
 * <p>Other calls: {@code GET /load} (load report), {@code GET /counts} (counts since the start),
 * {@code POST /orders} (placement order; 409 if its fencing number is refused) and {@code POST
 * /control?slowdown=X&leaving=BOOL} (fault injection).
 */
public final class EngineServer implements HttpRequestHandler, AutoCloseable {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final EngineCore core;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Closer closer = new Closer();
  private final HttpListener listener;

  /** Starts the engine and its server; port 0 binds any free port. */
  public EngineServer(InetSocketAddress address, EngineProfile profile, Set<String> models)
      throws IOException {
    core = new EngineCore(profile, models);
    closer.add(new EngineLoop(core));
    listener = closer.add(HttpListener.start(address, this));
  }

  /** Returns the scheduler of the engine. */
  public EngineCore core() {
    return core;
  }

  /** Returns the bound port. */
  public int port() {
    return listener.port();
  }

  @Override
  public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
      throws IOException {
    String path = request.getPath();
    if (path.equals("/v1/chat/completions")) {
      handleChat(mapper.readTree(EntityUtils.toByteArray(request.getEntity())), response);
    } else if (path.equals("/load")) {
      writeJson(response, loadReport());
    } else if (path.equals("/counts")) {
      writeJson(response, mapper.valueToTree(core.counts()));
    } else if (path.equals("/orders")) {
      handleOrder(mapper.readTree(EntityUtils.toByteArray(request.getEntity())), response);
    } else if (path.startsWith("/control")) {
      handleControl(QueryParameters.parse(path));
    } else {
      response.setCode(NOT_FOUND);
    }
  }

  private void handleControl(QueryParameters query) {
    query.get("slowdown").ifPresent(value -> core.setSlowdown(Double.parseDouble(value)));
    query.get("leaving").ifPresent(value -> core.setLeaving(Boolean.parseBoolean(value)));
  }

  private ObjectNode loadReport() {
    long nowMs = System.currentTimeMillis();
    EngineCore.LoadSample load = core.laggedLoad(nowMs);
    ObjectNode body =
        newObject()
            .put("ageMs", nowMs - load.atMs())
            .put("running", load.running())
            .put("waiting", load.waiting())
            .put("msPerToken", load.msPerToken())
            .put("prefillTokensPerSecond", core.prefillTokensPerSecond())
            .put("leaving", core.isLeaving())
            .put("highestFencing", core.highestFencing());
    core.models().forEach(body.putArray("models")::add);
    return body;
  }

  private void handleOrder(JsonNode order, ClassicHttpResponse response) throws IOException {
    Set<String> models = toStrings(order.path("models"));
    if (!core.applyOrder(order.path("fencing").asLong(), models)) {
      response.setCode(CONFLICT);
    }
    writeJson(response, newObject().put("highestFencing", core.highestFencing()));
  }

  private static Set<String> toStrings(JsonNode array) {
    Set<String> strings = new HashSet<>();
    array.forEach(element -> strings.add(element.asText()));
    return strings;
  }

  private void handleChat(JsonNode request, ClassicHttpResponse response) throws IOException {
    String model = request.path("model").asText();
    if (core.isLeaving()) {
      response.setHeader(OpenAiEngineClient.LEAVING_HEADER, "true");
      writeError(response, UNAVAILABLE, "engine is leaving");
    } else if (!core.models().contains(model)) {
      writeError(response, NOT_FOUND, "model '" + model + "' is not loaded");
    } else {
      streamAnswer(request, response);
    }
  }

  private void streamAnswer(JsonNode request, ClassicHttpResponse response) {
    StringBuilder prompt = new StringBuilder();
    request.path("messages").forEach(m -> prompt.append(m.path("content").asText()).append('\n'));
    String text = prompt.toString();
    Generation generation =
        new Generation(
            request.path("model").asText(),
            text,
            PrefixCache.blockDigests(text),
            text.length() / CHARACTERS_PER_TOKEN,
            request.path("priority").asInt(0),
            request.path("resume_from_token").asInt(0),
            AnswerText.answerTokens(text, request.path("max_tokens").asInt(Integer.MAX_VALUE)));
    response.setEntity(new GenerationEntity(generation, core, HttpListener::isCallerDisconnected));
  }

  private void writeError(ClassicHttpResponse response, int status, String message)
      throws IOException {
    response.setCode(status);
    ObjectNode body = newObject();
    body.putObject("error").put("message", message).put("type", "server_error");
    writeJson(response, body);
  }

  private ObjectNode newObject() {
    return mapper.createObjectNode();
  }

  private void writeJson(ClassicHttpResponse response, ObjectNode body) throws IOException {
    response.setEntity(
        new ByteArrayEntity(mapper.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
  }

  @Override
  public void close() {
    closer.close();
  }
}
