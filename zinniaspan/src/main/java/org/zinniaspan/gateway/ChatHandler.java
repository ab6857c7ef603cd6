package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.http.BodyReader;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.ChatRunner;
import org.zinniaspan.stream.ChatSession;
import org.zinniaspan.stream.ChatStart;

/** Handles {@code POST /v1/chat/completions}. */
public final class ChatHandler {

  private final Supplier<Configuration> configuration;
  private final ChatRunner runner;
  private final TrafficObserver observer;
  private final RequestLimits limits;
  private final Clock clock;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a handler that passes valid requests to the runner and results to the observer. */
  public ChatHandler(
      Supplier<Configuration> configuration,
      ChatRunner runner,
      TrafficObserver observer,
      RequestLimits limits,
      Clock clock) {
    this.configuration = configuration;
    this.runner = runner;
    this.observer = observer;
    this.limits = limits;
    this.clock = clock;
  }

  void handle(
      String requestId,
      Organisation organisation,
      ClassicHttpRequest request,
      ClassicHttpResponse response)
      throws IOException {
    final long arrivedMs = clock.nowMs();
    Optional<byte[]> bytes = BodyReader.read(request.getEntity(), limits.maxBodyBytes());
    if (bytes.isEmpty()) {
      String message = "body is longer than the limit of " + limits.maxBodyBytes() + " bytes";
      response.setHeader("Connection", "close");
      ResponseWriter.writeNotRun(response, NotRunReason.TOO_LARGE, message);
      return;
    }
    ParseResult parsed = parse(requestId, organisation, request, bytes.get(), arrivedMs);
    if (parsed instanceof ParseResult.Valid valid) {
      run(valid.call(), valid.stream(), response);
    } else if (parsed instanceof ParseResult.Invalid invalid) {
      ResponseWriter.writeNotRun(response, invalid.reason(), invalid.message());
    }
  }

  private sealed interface ParseResult {
    record Valid(ChatCall call, boolean stream) implements ParseResult {}

    record Invalid(NotRunReason reason, String message) implements ParseResult {}
  }

  private ParseResult parse(
      String requestId,
      Organisation organisation,
      ClassicHttpRequest request,
      byte[] bytes,
      long arrivedMs) {
    JsonNode json;
    try {
      json = mapper.readTree(bytes);
    } catch (IOException e) {
      return new ParseResult.Invalid(
          NotRunReason.BAD_REQUEST, "body is not JSON: " + firstLine(e.getMessage()));
    }
    if (json == null || !json.isObject()) {
      return new ParseResult.Invalid(NotRunReason.BAD_REQUEST, "body is not a JSON object");
    }
    if (!json.path("messages").isArray() || json.path("messages").isEmpty()) {
      return new ParseResult.Invalid(NotRunReason.BAD_REQUEST, "'messages' is not a filled array");
    }
    JsonNode stream = json.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return new ParseResult.Invalid(
          NotRunReason.BAD_REQUEST, "'stream' is " + stream + "; valid are: true, false");
    }
    String model = json.path("model").asText("");
    Configuration current = configuration.get();
    if (!current.inventory().hasModel(model)) {
      List<String> names =
          current.inventory().models().stream().map(m -> m.name()).sorted().toList();
      return new ParseResult.Invalid(
          NotRunReason.NOT_FOUND,
          "model '" + model + "' is unknown; valid are: " + String.join(", ", names));
    }
    ServiceClassSelector.Selection selection =
        ServiceClassSelector.select(
            current.rules(),
            classHeader(request),
            () -> current.rules().classOfChat(model, organisation.name()));
    if (selection instanceof ServiceClassSelector.Selection.Invalid invalid) {
      return new ParseResult.Invalid(NotRunReason.BAD_REQUEST, invalid.message());
    }
    ServiceClass serviceClass =
        ((ServiceClassSelector.Selection.Selected) selection).serviceClass();
    return new ParseResult.Valid(
        newChatCall(requestId, organisation, serviceClass, (ObjectNode) json, arrivedMs),
        stream.asBoolean(false));
  }

  private static ChatCall newChatCall(
      String requestId,
      Organisation organisation,
      ServiceClass serviceClass,
      ObjectNode body,
      long arrivedMs) {
    String text = PromptDigest.text(body.path("messages"));
    int requestedTokens =
        body.path("max_completion_tokens").asInt(body.path("max_tokens").asInt(0));
    int maxTokens = serviceClass.maxOutputTokens();
    return new ChatCall(
        requestId,
        organisation.name(),
        serviceClass,
        body.path("model").asText(),
        body,
        PromptDigest.estimateTokens(text),
        requestedTokens > 0 ? Math.min(requestedTokens, maxTokens) : maxTokens,
        PromptDigest.prefixDigests(text),
        arrivedMs);
  }

  private void run(ChatCall call, boolean stream, ClassicHttpResponse response) {
    response.setHeader(GatewayHeaders.SERVICE_CLASS, call.serviceClass().name());
    ChatStart start = runner.start(call, HttpListener::isCallerDisconnected);
    if (start instanceof ChatStart.Started started) {
      respond(call, started.session(), stream, response);
    } else if (start instanceof ChatStart.Ended ended) {
      observer.onEnded(call.serviceClass(), ended.outcome());
      ResponseWriter.writeOutcome(response, ended.outcome(), outcomeMessage(ended.outcome()));
    } else if (start instanceof ChatStart.Rejected rejected) {
      observer.onEnded(call.serviceClass(), new Outcome.Answered(rejected.status()));
      response.setHeader(GatewayHeaders.OUTCOME, "answered");
      ResponseWriter.writeError(response, rejected.status(), "engine_error", rejected.message());
    }
  }

  private void respond(
      ChatCall call, ChatSession session, boolean stream, ClassicHttpResponse response) {
    ChatResponseReader reader =
        new ChatResponseReader(call, session, observer, HttpListener::isCallerDisconnected, clock);
    response.setHeader(GatewayHeaders.ENDPOINT, session.endpoint());
    if (stream) {
      response.setHeader(GatewayHeaders.OUTCOME, "answered");
      response.setEntity(new StreamingChatEntity(reader));
    } else {
      BufferedChatResponse.write(reader, response);
    }
  }

  private static String outcomeMessage(Outcome outcome) {
    return outcome instanceof Outcome.NotRun notRun
        ? "the request was not run: " + notRun.reason().code()
        : outcome.label();
  }

  private static Optional<String> classHeader(ClassicHttpRequest request) {
    return Optional.ofNullable(request.getFirstHeader(GatewayHeaders.SERVICE_CLASS))
        .map(Header::getValue);
  }

  private static String firstLine(String text) {
    return text.lines().findFirst().orElse("");
  }
}
