package org.zinniaspan.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.EngineClient;
import org.zinniaspan.stream.EngineStream;
import org.zinniaspan.stream.OpenResult;
import org.zinniaspan.stream.StreamEvent;

/** Speaks the chat completions protocol of OpenAI to engines, always streamed. */
public final class OpenAiEngineClient implements EngineClient {

  /** Header by which an engine says that it leaves. */
  public static final String LEAVING_HEADER = "X-Engine-Leaving";

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int READ_TIMEOUT_MS = 15_000;
  private static final int MAX_ERROR_BYTES = 16 * 1024;
  private static final int OK = 200;

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens) {
    HttpExchange exchange;
    try {
      exchange =
          HttpExchange.connect(
              Addresses.parse(endpoint.address()), CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
    } catch (IOException e) {
      return new OpenResult.NotSent(endpoint.name() + ": " + e.getMessage());
    }
    try {
      return send(endpoint, exchange, request(endpoint, call, attemptId, resumeFromTokens));
    } catch (IOException | HttpException e) {
      exchange.close();
      return new OpenResult.Broken(endpoint.name() + ": " + e.getMessage());
    }
  }

  private ClassicHttpRequest request(
      Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens) throws IOException {
    ObjectNode body = call.body().deepCopy();
    body.put("stream", true);
    body.put("priority", call.serviceClass().tier());
    body.put("max_tokens", call.maxTokens());
    if (resumeFromTokens > 0) {
      body.put("resume_from_token", resumeFromTokens);
    }
    return ClassicRequestBuilder.post("/v1/chat/completions")
        .setHttpHost(host(endpoint))
        .addHeader("X-Request-Id", attemptId)
        .setEntity(
            new ByteArrayEntity(mapper.writeValueAsBytes(body), ContentType.APPLICATION_JSON))
        .build();
  }

  static HttpHost host(Endpoint endpoint) {
    var address = Addresses.parse(endpoint.address());
    return new HttpHost(address.getHostString(), address.getPort());
  }

  private OpenResult send(Endpoint endpoint, HttpExchange exchange, ClassicHttpRequest request)
      throws IOException, HttpException {
    ClassicHttpResponse response = exchange.execute(request);
    if (response.getCode() != OK) {
      String message = errorMessage(response);
      exchange.close();
      boolean leaving = response.containsHeader(LEAVING_HEADER);
      return new OpenResult.Rejected(response.getCode(), leaving, message);
    }
    if (response.getEntity() == null) {
      exchange.close();
      return new OpenResult.Broken(endpoint.name() + ": answer has no body");
    }
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
    return new OpenResult.Opened(new SseStream(endpoint.name(), exchange, reader));
  }

  private String errorMessage(ClassicHttpResponse response) throws IOException {
    byte[] body = BodyReader.read(response.getEntity(), MAX_ERROR_BYTES).orElse(new byte[0]);
    try {
      JsonNode message = mapper.readTree(body).path("error").path("message");
      return message.isTextual() ? message.asText() : "status " + response.getCode();
    } catch (IOException e) {
      return "status " + response.getCode();
    }
  }

  private final class SseStream implements EngineStream {

    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final String endpoint;
    private final HttpExchange exchange;
    private final BufferedReader reader;
    private String finishReason = "";

    SseStream(String endpoint, HttpExchange exchange, BufferedReader reader) {
      this.endpoint = endpoint;
      this.exchange = exchange;
      this.reader = reader;
    }

    @Override
    public StreamEvent next() {
      try {
        return read();
      } catch (IOException e) {
        return broken(e.getMessage());
      }
    }

    private StreamEvent read() throws IOException {
      String line;
      while ((line = reader.readLine()) != null) {
        if (!line.startsWith(DATA)) {
          continue;
        }
        String data = line.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
          return finishReason.isEmpty()
              ? broken("stream ended without a finish reason")
              : new StreamEvent.Finished(finishReason);
        }
        JsonNode choice = mapper.readTree(data).path("choices").path(0);
        if (choice.path("finish_reason").isTextual()) {
          finishReason = choice.path("finish_reason").asText();
        }
        String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty()) {
          return new StreamEvent.Token(text);
        }
      }
      return broken("connection closed before the end of the answer");
    }

    private StreamEvent broken(String reason) {
      return new StreamEvent.Broken(endpoint + ": " + reason);
    }

    @Override
    public void cancel() {
      exchange.close();
    }

    @Override
    public void close() {
      exchange.close();
    }
  }
}
