package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Model;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.lifecycle.Drain;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * HTTP entry point for callers: applies admission control, authenticates the caller and routes the
 * request to the handler of its path.
 *
 * <p>Paths are {@code POST /v1/chat/completions}, {@code GET /v1/models}, {@code POST
 * /v1/idempotency-keys} and {@code /services/SERVICE/PATH} with any method.
 */
public final class Gateway implements HttpRequestHandler {

  private static final long RETRY_AFTER_MS = 1_000;

  private final Supplier<Configuration> configuration;
  private final Drain drain;
  private final RequestLimits limits;
  private final ChatHandler chat;
  private final ServiceCallHandler serviceCalls;
  private final SlowCallers slowCallers;

  /** Creates a gateway that counts its requests in flight in the given drain. */
  public Gateway(
      Supplier<Configuration> configuration,
      Drain drain,
      RequestLimits limits,
      SlowCallers slowCallers,
      ChatHandler chat,
      ServiceCallHandler serviceCalls) {
    this.configuration = configuration;
    this.drain = drain;
    this.limits = limits;
    this.slowCallers = slowCallers;
    this.chat = chat;
    this.serviceCalls = serviceCalls;
  }

  @Override
  public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
      throws IOException {
    String requestId = UUID.randomUUID().toString();
    response.setHeader(GatewayHeaders.REQUEST_ID, requestId);
    Optional<Outcome.NotRun> refusal = refusal();
    if (refusal.isPresent()) {
      ResponseWriter.writeRefusal(response, refusal.get(), hasIdempotencyKey(request));
      return;
    }
    Runnable onCompletion = once(drain::endRequest);
    try {
      route(requestId, request, response);
    } catch (IOException | RuntimeException e) {
      onCompletion.run();
      throw e;
    }
    CompletionCallbackEntity.attach(response, slowCallers, onCompletion);
    if (drain.hasBegun()) {
      response.setHeader("Connection", "close");
    }
  }

  /**
   * Returns the reason to refuse a request, or empty if it is admitted.
   *
   * <p>An admitted request counts as in flight from here on. Every refusal invites a retry after
   * {@value #RETRY_AFTER_MS} ms.
   */
  private Optional<Outcome.NotRun> refusal() {
    if (drain.inFlight() >= limits.maxInFlight()) {
      return Optional.of(Outcome.NotRun.retryAfter(NotRunReason.OVERLOADED, RETRY_AFTER_MS));
    }
    if (!configuration.get().isComplete() || !drain.tryStartRequest()) {
      return Optional.of(Outcome.NotRun.retryAfter(NotRunReason.NOT_READY, RETRY_AFTER_MS));
    }
    return Optional.empty();
  }

  private static boolean hasIdempotencyKey(ClassicHttpRequest request) {
    return request.containsHeader(GatewayHeaders.IDEMPOTENCY_KEY);
  }

  private void route(String requestId, ClassicHttpRequest request, ClassicHttpResponse response)
      throws IOException {
    Optional<Organisation> organisation =
        CallerAuthenticator.authenticate(request, configuration.get());
    if (organisation.isEmpty()) {
      ResponseWriter.writeNotRun(
          response,
          NotRunReason.UNKNOWN_ORGANISATION,
          "no organisation has this key; send it as 'Authorization: Bearer KEY'");
      return;
    }
    String path = request.getPath();
    String method = request.getMethod();
    if (path.equals("/v1/chat/completions") && method.equals("POST")) {
      chat.handle(requestId, organisation.get(), request, response);
    } else if (path.equals("/v1/models") && method.equals("GET")) {
      listModels(response);
    } else if (path.equals("/v1/idempotency-keys") && method.equals("POST")) {
      serviceCalls.issueKey(response);
    } else if (path.startsWith(ServiceCallHandler.PATH_PREFIX)) {
      serviceCalls.handle(requestId, organisation.get(), request, response);
    } else {
      ResponseWriter.writeNotRun(
          response,
          NotRunReason.NOT_FOUND,
          "'"
              + method
              + " "
              + path
              + "' is unknown; valid are POST /v1/chat/completions, GET /v1/models,"
              + " POST /v1/idempotency-keys and /services/SERVICE/PATH");
    }
  }

  private void listModels(ClassicHttpResponse response) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("object", "list");
    ArrayNode data = body.putArray("data");
    for (Model model : configuration.get().inventory().models()) {
      data.addObject()
          .put("id", model.name())
          .put("object", "model")
          .put("created", 0)
          .put("owned_by", "zinniaspan");
    }
    response.setHeader(GatewayHeaders.OUTCOME, "answered");
    ResponseWriter.writeJson(response, body);
  }

  private static Runnable once(Runnable action) {
    AtomicBoolean done = new AtomicBoolean();
    return () -> {
      if (done.compareAndSet(false, true)) {
        action.run();
      }
    };
  }
}
