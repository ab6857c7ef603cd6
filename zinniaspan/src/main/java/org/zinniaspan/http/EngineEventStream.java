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

/** The answer to a chat request that was sent to an engine; read by one thread. */
final class EngineEventStream implements EngineStream {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long LONGEST_WAIT_MS = 15_000;
  private static final long ERROR_BODY_WAIT_MS = 500;
  private static final int MAX_ERROR_BYTES = 16 * 1024;
  private static final int MAX_LINE_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final String endpoint;
  private final String attemptId;
  private final HttpExchange exchange;
  private Optional<LineReader> lines = Optional.empty();
  private Optional<StreamEvent> last = Optional.empty();
  private String answerId = "";
  private String finishReason = "";

  EngineEventStream(String endpoint, String attemptId, HttpExchange exchange) {
    this.endpoint = endpoint;
    this.attemptId = attemptId;
    this.exchange = exchange;
  }

  @Override
  public StreamEvent next() {
    StreamEvent event = next(LONGEST_WAIT_MS);
    return event instanceof StreamEvent.Waiting
        ? broken("no event for " + LONGEST_WAIT_MS + " ms")
        : event;
  }

  @Override
  public StreamEvent next(long timeoutMs) {
    if (last.isPresent()) {
      return last.get();
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
      limitRead(deadlineNanos);
      Optional<StreamEvent> refusal = readHead();
      if (refusal.isPresent()) {
        return refusal.get();
      }
    }
    while (true) {
      limitRead(deadlineNanos);
      Optional<String> line = lines.get().read();
      if (line.isEmpty()) {
        return broken("connection closed before the end of the answer");
      }
      Optional<StreamEvent> event = onLine(line.get());
      if (event.isPresent()) {
        return event.get();
      }
      if (System.nanoTime() >= deadlineNanos) {
        return new StreamEvent.Waiting();
      }
    }
  }

  private void limitRead(long deadlineNanos) {
    exchange.setReadTimeout(TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
  }

  private Optional<StreamEvent> readHead() throws IOException, HttpException {
    ClassicHttpResponse response = exchange.receive();
    if (response.getCode() != OK) {
      exchange.setReadTimeout(ERROR_BODY_WAIT_MS);
      boolean leaving = response.containsHeader(OpenAiEngineClient.LEAVING_HEADER);
      return Optional.of(
          end(new StreamEvent.Rejected(response.getCode(), leaving, errorMessage(response))));
    }
    if (response.getEntity() == null) {
      return Optional.of(broken("answer has no body"));
    }
    String type = String.valueOf(response.getEntity().getContentType());
    if (!type.startsWith(EVENT_STREAM)) {
      return Optional.of(broken("content type is '" + type + "', not '" + EVENT_STREAM + "'"));
    }
    Header id = response.getFirstHeader(OpenAiEngineClient.REQUEST_ID_HEADER);
    if (id != null && !id.getValue().equals(attemptId)) {
      return Optional.of(broken("answer belongs to attempt '" + id.getValue() + "'"));
    }
    lines = Optional.of(new LineReader(response.getEntity().getContent(), MAX_LINE_BYTES));
    return Optional.empty();
  }

  private static String errorMessage(ClassicHttpResponse response) throws IOException {
    try {
      byte[] body = BodyReader.read(response.getEntity(), MAX_ERROR_BYTES).orElse(new byte[0]);
      JsonNode message = MAPPER.readTree(body).path("error").path("message");
      return message.isTextual() ? message.asText() : "status " + response.getCode();
    } catch (JsonProcessingException | SocketTimeoutException e) {
      return "status " + response.getCode();
    }
  }

  private Optional<StreamEvent> onLine(String line) throws IOException {
    if (!line.startsWith(DATA)) {
      return Optional.empty();
    }
    String data = line.substring(DATA.length()).trim();
    if (data.equals(DONE)) {
      return Optional.of(
          finishReason.isEmpty()
              ? broken("stream ended without a finish reason")
              : end(new StreamEvent.Finished(finishReason)));
    }
    JsonNode event = MAPPER.readTree(data);
    if (event.hasNonNull("error")) {
      return Optional.of(broken("error event: " + event.path("error").path("message").asText()));
    }
    if (isOfAnotherAnswer(event.path("id").asText(""))) {
      return Optional.of(broken("an event belongs to another answer"));
    }
    return onChoice(event.path("choices").path(0));
  }

  private boolean isOfAnotherAnswer(String id) {
    if (answerId.isEmpty()) {
      answerId = id;
    }
    return !id.isEmpty() && !id.equals(answerId);
  }

  private Optional<StreamEvent> onChoice(JsonNode choice) {
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
    return end(new StreamEvent.Broken(endpoint + ": " + reason));
  }

  private StreamEvent end(StreamEvent event) {
    last = Optional.of(event);
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
