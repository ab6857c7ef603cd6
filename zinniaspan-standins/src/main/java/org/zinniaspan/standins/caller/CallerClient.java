package org.zinniaspan.standins.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.gateway.GatewayHeaders;
import org.zinniaspan.http.HttpClientExchange;

/** HTTP client that sends requests to an entry VM with an organisation's key. */
public final class CallerClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 40_000;
  private static final double NANOS_PER_MS = 1_000_000.0;

  /** A request to a plain service; an empty body is not sent. */
  public record ServiceRequest(
      String method, String path, String body, Optional<String> idempotencyKey) {}

  /** A chat completion request; an absent service class leaves the choice to the router. */
  public record ChatRequest(
      String model, String prompt, Optional<String> serviceClass, boolean stream) {}

  private final String organisationKey;
  private final LongConsumer tokenGapNanosListener;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client with an organisation's API key. */
  public CallerClient(String organisationKey) {
    this(organisationKey, nanos -> {});
  }

  /**
   * Creates a client that reports inter-token latencies.
   *
   * @param tokenGapNanosListener receives the nanoseconds between consecutive tokens of a stream
   */
  public CallerClient(String organisationKey, LongConsumer tokenGapNanosListener) {
    this.organisationKey = organisationKey;
    this.tokenGapNanosListener = tokenGapNanosListener;
  }

  /** Sends a chat completion request and reads the whole response. */
  public CallerResult chat(InetSocketAddress entry, ChatRequest request) {
    ObjectNode body = mapper.createObjectNode();
    body.put("model", request.model()).put("stream", request.stream());
    body.putArray("messages").addObject().put("role", "user").put("content", request.prompt());
    ClassicRequestBuilder builder =
        builder("POST", "/v1/chat/completions", entry)
            .setEntity(
                new ByteArrayEntity(
                    body.toString().getBytes(StandardCharsets.UTF_8),
                    ContentType.APPLICATION_JSON));
    request.serviceClass().ifPresent(name -> builder.addHeader(GatewayHeaders.SERVICE_CLASS, name));
    return send(entry, builder);
  }

  /** Sends a request to a plain service and reads the whole response. */
  public CallerResult call(InetSocketAddress entry, ServiceRequest request) {
    ClassicRequestBuilder builder = builder(request.method(), "/services/" + request.path(), entry);
    if (!request.body().isEmpty()) {
      byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
      builder.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
    }
    request
        .idempotencyKey()
        .ifPresent(value -> builder.addHeader(GatewayHeaders.IDEMPOTENCY_KEY, value));
    return send(entry, builder);
  }

  /** Sends a request with an arbitrary method and path and reads the whole response. */
  public CallerResult raw(InetSocketAddress entry, String method, String path, String body) {
    ClassicRequestBuilder builder = builder(method, path, entry);
    if (!body.isEmpty()) {
      builder.setEntity(
          new ByteArrayEntity(body.getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON));
    }
    return send(entry, builder);
  }

  private ClassicRequestBuilder builder(String method, String path, InetSocketAddress entry) {
    return ClassicRequestBuilder.create(method)
        .setPath(path)
        .setHttpHost(new HttpHost(entry.getHostString(), entry.getPort()))
        .addHeader("Authorization", "Bearer " + organisationKey);
  }

  private CallerResult send(InetSocketAddress entry, ClassicRequestBuilder builder) {
    long startNanos = System.nanoTime();
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(entry, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
      ClassicHttpResponse response = exchange.execute(builder.build());
      ResponseAccumulator accumulator = new ResponseAccumulator(startNanos);
      if (isStream(response)) {
        readStream(response, accumulator);
      } else {
        accumulator.text.append(EntityUtils.toString(response.getEntity()));
        accumulator.complete = true;
        accumulator.tokens = completionTokens(accumulator.text.toString());
      }
      return accumulator.toResult(response);
    } catch (IOException | HttpException e) {
      return CallerResult.failed(e.toString(), elapsedMs(startNanos));
    }
  }

  private static boolean isStream(ClassicHttpResponse response) {
    return response.getEntity() != null
        && response.getEntity().getContentType() != null
        && response.getEntity().getContentType().startsWith("text/event-stream");
  }

  private void readStream(ClassicHttpResponse response, ResponseAccumulator accumulator) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8))) {
      String line;
      while ((line = reader.readLine()) != null) {
        if (line.equals("data: [DONE]")) {
          accumulator.complete = true;
        } else if (line.startsWith("data: ")) {
          JsonNode chunk = mapper.readTree(line.substring("data: ".length()));
          accumulator.addToken(
              chunk.path("choices").path(0).path("delta").path("content").asText(""));
        }
      }
    } catch (IOException e) {
      accumulator.complete = false;
    }
  }

  private int completionTokens(String body) {
    try {
      return mapper.readTree(body).path("usage").path("completion_tokens").asInt();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double elapsedMs(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  /** Collects text, token count and timing of a response while it is read. */
  private final class ResponseAccumulator {

    private final long startNanos;
    private final StringBuilder text = new StringBuilder();
    private double firstTokenMs;
    private long lastTokenNanos;
    private int tokens;
    private boolean complete;

    ResponseAccumulator(long startNanos) {
      this.startNanos = startNanos;
    }

    void addToken(String value) {
      if (value.isEmpty()) {
        return;
      }
      long now = System.nanoTime();
      if (tokens == 0) {
        firstTokenMs = elapsedMs(startNanos);
      } else {
        tokenGapNanosListener.accept(now - lastTokenNanos);
      }
      lastTokenNanos = now;
      tokens++;
      text.append(value);
    }

    CallerResult toResult(ClassicHttpResponse response) {
      double totalMs = elapsedMs(startNanos);
      return new CallerResult(
          response.getCode(),
          header(response, GatewayHeaders.OUTCOME).orElse(""),
          header(response, GatewayHeaders.ENDPOINT).orElse(""),
          header(response, GatewayHeaders.RETRY_AFTER).map(Integer::valueOf),
          text.toString(),
          complete,
          tokens,
          firstTokenMs == 0 ? totalMs : firstTokenMs,
          totalMs);
    }

    private static Optional<String> header(ClassicHttpResponse response, String name) {
      return Optional.ofNullable(response.getFirstHeader(name)).map(Header::getValue);
    }
  }
}
