package org.zinniaspan.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.EngineClient;
import org.zinniaspan.stream.OpenResult;

/** Sends chat requests to engines with the OpenAI chat completions API, always as a stream. */
public final class OpenAiEngineClient implements EngineClient {

  /** Response header by which an engine announces that it is draining and refuses new requests. */
  public static final String LEAVING_HEADER = "X-Engine-Leaving";

  /** Header that carries the attempt id; an engine may echo it in its response. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final int CONNECT_TIMEOUT_MS = 250;
  private static final int READ_TIMEOUT_MS = 15_000;

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens) {
    HttpClientExchange exchange;
    try {
      exchange =
          HttpClientExchange.connect(
              Addresses.parse(endpoint.address()), CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
    } catch (IOException e) {
      return new OpenResult.NotSent(endpoint.name() + ": " + e.getMessage());
    }
    try {
      exchange.send(request(endpoint, call, attemptId, resumeFromTokens));
      return new OpenResult.Opened(new SseEngineStream(endpoint.name(), attemptId, exchange));
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
        .setHttpHost(httpHost(endpoint))
        .addHeader(REQUEST_ID_HEADER, attemptId)
        .setEntity(
            new ByteArrayEntity(mapper.writeValueAsBytes(body), ContentType.APPLICATION_JSON))
        .build();
  }

  static HttpHost httpHost(Endpoint endpoint) {
    var address = Addresses.parse(endpoint.address());
    return new HttpHost(address.getHostString(), address.getPort());
  }
}
