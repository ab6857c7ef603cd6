package org.zinniaspan.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.zinniaspan.stream.EngineStream;
import org.zinniaspan.stream.StreamEvent;

/**
 * Parses an engine's response to a chat request from server-sent events.
 *
 * <p>Read by one thread; {@link #cancel} may be called from any thread.
 */
final class SseEngineStream implements EngineStream {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long NEXT_EVENT_TIMEOUT_MS = 15_000;
  private static final long ERROR_BODY_TIMEOUT_MS = 500;
  private static final int MAX_ERROR_BODY_BYTES = 16 * 1024;
  private static final int MAX_LINE_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final String EVENT_STREAM_TYPE = "text/event-stream";
  private static final String DATA_FIELD = "data:";
  private static final String END_OF_STREAM = "[DONE]";

  private final String endpoint;
  private final String attemptId;
  private final HttpClientExchange exchange;
  private Optional<LineReader> lines = Optional.empty();
  private Optional<StreamEvent> endEvent = Optional.empty();
  private String completionId = "";
  private String finishReason = "";

  SseEngineStream(String endpoint, String attemptId, HttpClientExchange exchange) {
    this.endpoint = endpoint;
    this.attemptId = attemptId;
    this.exchange = exchange;
  }

  @Override
  public StreamEvent next() {
    StreamEvent event = next(NEXT_EVENT_TIMEOUT_MS);
    return event instanceof StreamEvent.Waiting
        ? broken("no event for " + NEXT_EVENT_TIMEOUT_MS + " ms")
        : event;
  }

  @Override
  public StreamEvent next(long timeoutMs) {
    if (endEvent.isPresent()) {
      return endEvent.get();
    }
    try {
      return read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    } catch (SocketTimeoutException e) {
      return new StreamEvent.Waiting();
    } catch (JsonProcessingException e) {
      return broken("an event is not JSON");
    } catch (IOException | HttpException | IllegalStateException e) {
      return broken(String.valueOf(e.getMessage()));
    }
  }

  private StreamEvent read(long deadlineNanos) throws IOException, HttpException {
    if (lines.isEmpty()) {
      setReadDeadline(deadlineNanos);
      Optional<StreamEvent> refusal = readResponseHead();
      if (refusal.isPresent()) {
        return refusal.get();
      }
    }
    while (true) {
      setReadDeadline(deadlineNanos);
      Optional<String> line = lines.get().read();
      if (line.isEmpty()) {
        return broken("connection closed before the end of the answer");
      }
      Optional<StreamEvent> event = parseLine(line.get());
      if (event.isPresent()) {
        return event.get();
      }
      if (System.nanoTime() >= deadlineNanos) {
        return new StreamEvent.Waiting();
      }
    }
  }

  private void setReadDeadline(long deadlineNanos) {
    exchange.setReadTimeout(TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
  }

  private Optional<StreamEvent> readResponseHead() throws IOException, HttpException {
    ClassicHttpResponse response = exchange.receive();
    if (response.getCode() != OK) {
      exchange.setReadTimeout(ERROR_BODY_TIMEOUT_MS);
      boolean leaving = response.containsHeader(OpenAiEngineClient.LEAVING_HEADER);
      return Optional.of(
          endWith(
              new StreamEvent.Rejected(response.getCode(), leaving, readErrorMessage(response))));
    }
    if (response.getEntity() == null) {
      return Optional.of(broken("answer has no body"));
    }
    String contentType = String.valueOf(response.getEntity().getContentType());
    if (!contentType.startsWith(EVENT_STREAM_TYPE)) {
      return Optional.of(
          broken("content type is '" + contentType + "', not '" + EVENT_STREAM_TYPE + "'"));
    }
    Header id = response.getFirstHeader(OpenAiEngineClient.REQUEST_ID_HEADER);
    if (id != null && !id.getValue().equals(attemptId)) {
      return Optional.of(broken("answer belongs to attempt '" + id.getValue() + "'"));
    }
    lines = Optional.of(new LineReader(response.getEntity().getContent(), MAX_LINE_BYTES));
    return Optional.empty();
  }

  private static String readErrorMessage(ClassicHttpResponse response) throws IOException {
    try {
      byte[] body = BodyReader.read(response.getEntity(), MAX_ERROR_BODY_BYTES).orElse(new byte[0]);
      JsonNode message = MAPPER.readTree(body).path("error").path("message");
      return message.isTextual() ? message.asText() : "status " + response.getCode();
    } catch (JsonProcessingException | SocketTimeoutException e) {
      return "status " + response.getCode();
    }
  }

  private Optional<StreamEvent> parseLine(String line) throws IOException {
    if (!line.startsWith(DATA_FIELD)) {
      return Optional.empty();
    }
    String data = line.substring(DATA_FIELD.length()).trim();
    if (data.equals(END_OF_STREAM)) {
      return Optional.of(
          finishReason.isEmpty()
              ? broken("stream ended without a finish reason")
              : endWith(new StreamEvent.Finished(finishReason)));
    }
    JsonNode event = MAPPER.readTree(data);
    if (event.hasNonNull("error")) {
      return Optional.of(broken("error event: " + event.path("error").path("message").asText()));
    }
    if (belongsToAnotherCompletion(event.path("id").asText(""))) {
      return Optional.of(broken("an event belongs to another answer"));
    }
    return parseChoice(event.path("choices").path(0));
  }

  private boolean belongsToAnotherCompletion(String id) {
    if (completionId.isEmpty()) {
      completionId = id;
    }
    return !id.isEmpty() && !id.equals(completionId);
  }

  private Optional<StreamEvent> parseChoice(JsonNode choice) {
    String text = choice.path("delta").path("content").asText("");
    if (!text.isEmpty() && !finishReason.isEmpty()) {
      return Optional.of(broken("a token came after the finish reason"));
    }
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.path("finish_reason").asText();
    }
    return text.isEmpty() ? Optional.empty() : Optional.of(new StreamEvent.Token(text));
  }

  private StreamEvent broken(String reason) {
    return endWith(new StreamEvent.Broken(endpoint + ": " + reason));
  }

  private StreamEvent endWith(StreamEvent event) {
    endEvent = Optional.of(event);
    return event;
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
