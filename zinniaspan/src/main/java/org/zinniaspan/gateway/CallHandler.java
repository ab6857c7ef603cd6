package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.gateway.TrafficObserver.Delivery;
import org.zinniaspan.http.BodyReader;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.runner.CallResult;
import org.zinniaspan.runner.CallRunner;
import org.zinniaspan.runner.ServiceCall;
import org.zinniaspan.runner.ServiceResponse;

/** Answers calls to plain services under {@code /services/SERVICE/PATH}. */
public final class CallHandler {

  /** Prefix of the paths that this handler answers. */
  public static final String PREFIX = "/services/";

  private static final List<String> PASSED_ON =
      List.of("Content-Type", "Accept", ResponseHeaders.IDEMPOTENCY_KEY);
  private static final int MAX_KEY_LENGTH = 200;

  private final Supplier<Configuration> configuration;
  private final CallRunner runner;
  private final TrafficObserver observer;
  private final Limits limits;
  private final Clock clock;

  /** Creates a handler. */
  public CallHandler(
      Supplier<Configuration> configuration,
      CallRunner runner,
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
    Optional<byte[]> body = BodyReader.read(request.getEntity(), limits.maxBodyBytes());
    if (body.isEmpty()) {
      String message = "body is longer than the limit of " + limits.maxBodyBytes() + " bytes";
      response.setHeader("Connection", "close");
      Answers.notRun(response, NotRunReason.TOO_LARGE, message);
      return;
    }
    String rest = request.getPath().substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Configuration now = configuration.get();
    if (!now.inventory().hasService(service)) {
      Answers.notRun(response, NotRunReason.NOT_FOUND, "service '" + service + "' is unknown");
      return;
    }
    Classes.Choice choice =
        Classes.choose(
            now.rules(),
            header(request, ResponseHeaders.SERVICE_CLASS),
            () -> now.rules().classOfCall(service, request.getMethod(), path, organisation.name()));
    Optional<String> key = header(request, ResponseHeaders.IDEMPOTENCY_KEY);
    if (choice instanceof Classes.Choice.Unknown unknown) {
      Answers.notRun(response, NotRunReason.BAD_REQUEST, unknown.message());
    } else if (key.filter(value -> value.isBlank() || value.length() > MAX_KEY_LENGTH)
        .isPresent()) {
      Answers.notRun(
          response,
          NotRunReason.BAD_REQUEST,
          "Idempotency-Key is blank or longer than " + MAX_KEY_LENGTH + " characters");
    } else {
      ServiceClass serviceClass = ((Classes.Choice.Chosen) choice).serviceClass();
      run(
          new ServiceCall(
              requestId,
              organisation.name(),
              serviceClass,
              service,
              request.getMethod(),
              path,
              passedOn(request),
              body.get(),
              key,
              arrivedMs),
          response);
    }
  }

  /** Issues an idempotency key. */
  void mintKey(ClassicHttpResponse response) {
    Optional<String> key = runner.issueKey();
    if (key.isEmpty()) {
      Answers.notRun(response, NotRunReason.NOT_FOUND, "this VM issues no idempotency keys");
      return;
    }
    response.setHeader(ResponseHeaders.OUTCOME, "answered");
    Answers.json(response, JsonNodeFactory.instance.objectNode().put("idempotency_key", key.get()));
  }

  private static Optional<String> header(ClassicHttpRequest request, String name) {
    return Optional.ofNullable(request.getFirstHeader(name)).map(Header::getValue);
  }

  private static Map<String, String> passedOn(ClassicHttpRequest request) {
    Map<String, String> headers = new HashMap<>();
    for (String name : PASSED_ON) {
      header(request, name).ifPresent(value -> headers.put(name, value));
    }
    return headers;
  }

  private void run(ServiceCall call, ClassicHttpResponse response) {
    response.setHeader(ResponseHeaders.SERVICE_CLASS, call.serviceClass().name());
    CallResult result = runner.run(call).join();
    final Outcome outcome = result.outcome();
    if (result.response().isPresent()) {
      write(result.response().get(), response);
      long totalMs = clock.nowMs() - call.arrivedMs();
      observer.delivered(call.serviceClass(), new Delivery(totalMs, 0, totalMs, 0));
    } else {
      observer.ended(call.serviceClass(), outcome);
      Answers.ended(response, outcome, "the call was not run");
    }
    EventLog.event("call")
        .with("requestId", call.requestId())
        .with("organisation", call.organisation())
        .with("class", call.serviceClass().name())
        .with("service", call.service())
        .with("outcome", outcome.label())
        .with("detail", outcome)
        .info();
  }

  private static void write(ServiceResponse answer, ClassicHttpResponse response) {
    response.setCode(answer.status());
    response.setHeader(ResponseHeaders.OUTCOME, "answered");
    ContentType type =
        answer.contentType().isEmpty() ? null : ContentType.parseLenient(answer.contentType());
    response.setEntity(new ByteArrayEntity(answer.body(), type));
  }
}
