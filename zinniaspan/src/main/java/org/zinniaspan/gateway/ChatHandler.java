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

/** Answers {@code POST /v1/chat/completions}. */
public final class ChatHandler {

  private final Supplier<Configuration> configuration;
  private final ChatRunner runner;
  private final TrafficObserver observer;
  private final Limits limits;
  private final Clock clock;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a handler. */
  public ChatHandler(
      Supplier<Configuration> configuration,
      ChatRunner runner,
      TrafficObserver observer,
      Limits limits,
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
      Answers.notRun(response, NotRunReason.TOO_LARGE, message);
      return;
    }
    Parsed parsed = parse(requestId, organisation, request, bytes.get(), arrivedMs);
    if (parsed instanceof Parsed.Good good) {
      run(good.call(), good.stream(), response);
    } else if (parsed instanceof Parsed.Bad bad) {
      Answers.notRun(response, bad.reason(), bad.message());
    }
  }

  private sealed interface Parsed {
    record Good(ChatCall call, boolean stream) implements Parsed {}

    record Bad(NotRunReason reason, String message) implements Parsed {}
  }

  private Parsed parse(
      String requestId,
      Organisation organisation,
      ClassicHttpRequest request,
      byte[] bytes,
      long arrivedMs) {
    JsonNode json;
    try {
      json = mapper.readTree(bytes);
    } catch (IOException e) {
      return new Parsed.Bad(
          NotRunReason.BAD_REQUEST, "body is not JSON: " + firstLine(e.getMessage()));
    }
    if (json == null || !json.isObject()) {
      return new Parsed.Bad(NotRunReason.BAD_REQUEST, "body is not a JSON object");
    }
    if (!json.path("messages").isArray() || json.path("messages").isEmpty()) {
      return new Parsed.Bad(NotRunReason.BAD_REQUEST, "'messages' is not a filled array");
    }
    JsonNode stream = json.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return new Parsed.Bad(
          NotRunReason.BAD_REQUEST, "'stream' is " + stream + "; valid are: true, false");
    }
    String model = json.path("model").asText("");
    Configuration now = configuration.get();
    if (!now.inventory().hasModel(model)) {
      List<String> names = now.inventory().models().stream().map(m -> m.name()).sorted().toList();
      return new Parsed.Bad(
          NotRunReason.NOT_FOUND,
          "model '" + model + "' is unknown; valid are: " + String.join(", ", names));
    }
    Classes.Choice choice =
        Classes.choose(
            now.rules(),
            classHeader(request),
            () -> now.rules().classOfChat(model, organisation.name()));
    if (choice instanceof Classes.Choice.Unknown unknown) {
      return new Parsed.Bad(NotRunReason.BAD_REQUEST, unknown.message());
    }
    ServiceClass serviceClass = ((Classes.Choice.Chosen) choice).serviceClass();
    return new Parsed.Good(
        call(requestId, organisation, serviceClass, (ObjectNode) json, arrivedMs),
        stream.asBoolean(false));
  }

  private static ChatCall call(
      String requestId,
      Organisation organisation,
      ServiceClass serviceClass,
      ObjectNode body,
      long arrivedMs) {
    String text = PromptDigest.text(body.path("messages"));
    int asked = body.path("max_completion_tokens").asInt(body.path("max_tokens").asInt(0));
    int limit = serviceClass.maxOutputTokens();
    return new ChatCall(
        requestId,
        organisation.name(),
        serviceClass,
        body.path("model").asText(),
        body,
        PromptDigest.tokens(text),
        asked > 0 ? Math.min(asked, limit) : limit,
        PromptDigest.prefixes(text),
        arrivedMs);
  }

  private void run(ChatCall call, boolean stream, ClassicHttpResponse response) {
    response.setHeader(ResponseHeaders.SERVICE_CLASS, call.serviceClass().name());
    ChatStart start = runner.start(call, HttpListener::isCallerDisconnected);
    if (start instanceof ChatStart.Started started) {
      answer(call, started.session(), stream, response);
    } else if (start instanceof ChatStart.Ended ended) {
      observer.ended(call.serviceClass(), ended.outcome());
      Answers.ended(response, ended.outcome(), message(ended.outcome()));
    } else if (start instanceof ChatStart.Rejected rejected) {
      observer.ended(call.serviceClass(), new Outcome.Answered(rejected.status()));
      response.setHeader(ResponseHeaders.OUTCOME, "answered");
      Answers.error(response, rejected.status(), "engine_error", rejected.message());
    }
  }

  private void answer(
      ChatCall call, ChatSession session, boolean stream, ClassicHttpResponse response) {
    ChatAnswer answer =
        new ChatAnswer(call, session, observer, HttpListener::isCallerDisconnected, clock);
    response.setHeader(ResponseHeaders.ENDPOINT, session.endpoint());
    if (stream) {
      response.setHeader(ResponseHeaders.OUTCOME, "answered");
      response.setEntity(new StreamedAnswer(answer));
    } else {
      WholeAnswer.write(answer, response);
    }
  }

  private static String message(Outcome outcome) {
    return outcome instanceof Outcome.NotRun notRun
        ? "the request was not run: " + notRun.reason().code()
        : outcome.label();
  }

  private static Optional<String> classHeader(ClassicHttpRequest request) {
    return Optional.ofNullable(request.getFirstHeader(ResponseHeaders.SERVICE_CLASS))
        .map(Header::getValue);
  }

  private static String firstLine(String text) {
    return text.lines().findFirst().orElse("");
  }
}
