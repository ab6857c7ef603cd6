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

/** Handles calls to plain services under {@code /services/SERVICE/PATH}. */
public final class ServiceCallHandler {

  /** Prefix of the paths that this handler serves. */
  public static final String PATH_PREFIX = "/services/";

  private static final List<String> FORWARDED_HEADERS =
      List.of("Content-Type", "Accept", GatewayHeaders.IDEMPOTENCY_KEY);
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

  private final Supplier<Configuration> configuration;
  private final CallRunner runner;
  private final TrafficObserver observer;
  private final RequestLimits limits;
  private final Clock clock;

  /** Creates a handler that passes valid calls to the runner and results to the observer. */
  public ServiceCallHandler(
      Supplier<Configuration> configuration,
      CallRunner runner,
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
    Optional<byte[]> body = BodyReader.read(request.getEntity(), limits.maxBodyBytes());
    if (body.isEmpty()) {
      String message = "body is longer than the limit of " + limits.maxBodyBytes() + " bytes";
      response.setHeader("Connection", "close");
      ResponseWriter.writeNotRun(response, NotRunReason.TOO_LARGE, message);
      return;
    }
    String rest = request.getPath().substring(PATH_PREFIX.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Configuration current = configuration.get();
    if (!current.inventory().hasService(service)) {
      ResponseWriter.writeNotRun(
          response, NotRunReason.NOT_FOUND, "service '" + service + "' is unknown");
      return;
    }
    ServiceClassSelector.Selection selection =
        ServiceClassSelector.select(
            current.rules(),
            header(request, GatewayHeaders.SERVICE_CLASS),
            () ->
                current
                    .rules()
                    .classOfCall(service, request.getMethod(), path, organisation.name()));
    Optional<String> key = header(request, GatewayHeaders.IDEMPOTENCY_KEY);
    if (selection instanceof ServiceClassSelector.Selection.Invalid invalid) {
      ResponseWriter.writeNotRun(response, NotRunReason.BAD_REQUEST, invalid.message());
    } else if (key.filter(value -> value.isBlank() || value.length() > MAX_IDEMPOTENCY_KEY_LENGTH)
        .isPresent()) {
      ResponseWriter.writeNotRun(
          response,
          NotRunReason.BAD_REQUEST,
          "Idempotency-Key is blank or longer than " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
    } else {
      ServiceClass serviceClass =
          ((ServiceClassSelector.Selection.Selected) selection).serviceClass();
      run(
          new ServiceCall(
              requestId,
              organisation.name(),
              serviceClass,
              service,
              request.getMethod(),
              path,
              forwardedHeaders(request),
              body.get(),
              key,
              arrivedMs),
          response);
    }
  }

  /** Responds with a new idempotency key, or with 404 if this VM issues none. */
  void issueKey(ClassicHttpResponse response) {
    Optional<String> key = runner.issueKey();
    if (key.isEmpty()) {
      ResponseWriter.writeNotRun(
          response, NotRunReason.NOT_FOUND, "this VM issues no idempotency keys");
      return;
    }
    response.setHeader(GatewayHeaders.OUTCOME, "answered");
    ResponseWriter.writeJson(
        response, JsonNodeFactory.instance.objectNode().put("idempotency_key", key.get()));
  }

  private static Optional<String> header(ClassicHttpRequest request, String name) {
    return Optional.ofNullable(request.getFirstHeader(name)).map(Header::getValue);
  }

  private static Map<String, String> forwardedHeaders(ClassicHttpRequest request) {
    Map<String, String> headers = new HashMap<>();
    for (String name : FORWARDED_HEADERS) {
      header(request, name).ifPresent(value -> headers.put(name, value));
    }
    return headers;
  }

  private void run(ServiceCall call, ClassicHttpResponse response) {
    response.setHeader(GatewayHeaders.SERVICE_CLASS, call.serviceClass().name());
    CallResult result = runner.run(call).join();
    final Outcome outcome = result.outcome();
    if (result.response().isPresent()) {
      writeResponse(result.response().get(), response);
      long totalMs = clock.nowMs() - call.arrivedMs();
      observer.onDelivered(call.serviceClass(), new Delivery(totalMs, 0, totalMs, 0));
    } else {
      observer.onEnded(call.serviceClass(), outcome);
      ResponseWriter.writeOutcome(response, outcome, "the call was not run");
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

  private static void writeResponse(ServiceResponse serviceResponse, ClassicHttpResponse response) {
    response.setCode(serviceResponse.status());
    response.setHeader(GatewayHeaders.OUTCOME, "answered");
    ContentType type =
        serviceResponse.contentType().isEmpty()
            ? null
            : ContentType.parseLenient(serviceResponse.contentType());
    response.setEntity(new ByteArrayEntity(serviceResponse.body(), type));
  }
}
