package org.zinniaspan.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.OutboundConnection;
import org.zinniaspan.transport.ResponseBody;
import org.zinniaspan.transport.ResponseHandler;

/** One send of a request through another VM, which chooses the endpoint. */
final class RelayAttempt implements Attempt, ResponseHandler {

  /** How a response of the other VM is handled. */
  private enum Verdict {
    /** An endpoint's stream, passed on event by event. */
    STREAM,
    /** An endpoint's response, passed on once it is complete. */
    WHOLE,
    /**
     * The other VM did not take the request, because of its state, its configuration or its
     * release; the request is sent through another one.
     */
    REFUSED_BY_VM,
    /** The request was refused, and did not run. */
    REFUSED,
    /** The other VM failed, and the request may have run. */
    FAILED
  }

  private final RequestSender sender;
  private final ProxiedRequest proxiedRequest;
  private final String vm;
  private final OutboundConnection connection;
  private final ResponseBody content;
  private final EventForwarder events;
  private HttpResponse head;
  private Verdict verdict = Verdict.FAILED;
  private boolean ended;

  RelayAttempt(RequestSender sender, String vm, OutboundConnection connection) {
    this.sender = sender;
    this.proxiedRequest = sender.request();
    this.content = new ResponseBody(proxiedRequest.context().bodies().responses());
    this.events = new EventForwarder(proxiedRequest);
    this.vm = vm;
    this.connection = connection;
  }

  void send(HttpRequest request, byte[] body) {
    connection.send(request, body, this);
  }

  @Override
  public boolean mayHaveRun() {
    return connection.wasOpened();
  }

  @Override
  public String softwareVersion() {
    return head == null ? "" : RelayHeaders.value(head, RelayHeaders.SOFTWARE_VERSION).orElse("");
  }

  @Override
  public void cancel() {
    if (!ended) {
      finish();
      connection.reset();
    }
  }

  @Override
  public boolean onHead(HttpResponse response) {
    if (!proxiedRequest.matchesAttempt(response)) {
      return false;
    }
    head = response;
    verdict = classify(response);
    recordDraining(response);
    return true;
  }

  /** Records that the endpoint of the response is draining, if it states so. */
  private void recordDraining(HttpResponse response) {
    EndpointDirectory directory = proxiedRequest.context().directory();
    if (proxiedRequest.context().dialect().responseFacts(response).draining()) {
      RelayHeaders.value(response, RelayHeaders.ENDPOINT)
          .flatMap(directory::endpoint)
          .ifPresent(endpoint -> directory.onStatedDraining(endpoint.listed()));
    }
  }

  private Verdict classify(HttpResponse response) {
    Dialect.ResponseFacts facts = proxiedRequest.context().dialect().responseFacts(response);
    // A VM states the end of each response, and its attempt id. Without the id, it may be a copy of
    // the response to an earlier request of the connection.
    if (!ResponseBody.statesEnd(response)
        || (facts.attemptId().isEmpty() && connection.wasReused())) {
      return Verdict.FAILED;
    }
    if (facts.signed()) {
      boolean streams = proxiedRequest.route().kind() == RouteKind.STREAMING;
      return streams && response.getCode() == HttpStatus.SC_OK ? Verdict.STREAM : Verdict.WHOLE;
    }
    int status = response.getCode();
    if (status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
      return response.containsHeader(RelayHeaders.REFUSED_BY_VM)
          ? Verdict.REFUSED_BY_VM
          : Verdict.REFUSED;
    }
    boolean rejected =
        status >= HttpStatus.SC_CLIENT_ERROR && status < HttpStatus.SC_INTERNAL_SERVER_ERROR;
    return rejected ? Verdict.REFUSED_BY_VM : Verdict.FAILED;
  }

  @Override
  public void onBody(ByteBuffer part) {
    boolean tooLong;
    if (verdict == Verdict.STREAM) {
      events.add(head, part);
      tooLong = events.isTooLong();
    } else {
      tooLong = !content.add(part);
    }
    if (tooLong && !ended) {
      connection.reset();
      onConnectionLost(true, Optional.of(new IOException("the answer is too long")));
    }
  }

  @Override
  public void onEnd() {
    if (verdict == Verdict.STREAM && events.hasIncompleteEvent()) {
      // A VM of an earlier release ends a stream that its endpoint broke off.
      connection.close();
      onConnectionLost(true, Optional.empty());
      return;
    }
    final byte[] body = content.take();
    finish();
    proxiedRequest.context().connections().release(vm, connection);
    switch (verdict) {
      case STREAM -> proxiedRequest.onStreamEnd(head);
      case WHOLE -> {
        if (!sender.tryRetryAfterError(head.getCode())) {
          proxiedRequest.onWholeResponse(head, body);
        }
      }
      case REFUSED_BY_VM -> {
        proxiedRequest.context().relayTargets().suspect(vm);
        logFailure("refused by the VM");
        sender.onNotSent(Optional.empty());
      }
      case REFUSED -> proxiedRequest.onRefusedByRelay(head, body);
      default -> {
        logFailure("status " + head.getCode());
        sender.onConnectionLost(Optional.empty());
      }
    }
  }

  @Override
  public void onConnectionLost(boolean opened, Optional<Exception> cause) {
    finish();
    logFailure(cause.map(Exception::toString).orElse("closed"));
    if (opened) {
      sender.onConnectionLost(cause);
    } else {
      proxiedRequest.context().relayTargets().suspect(vm);
      sender.onNotSent(cause);
    }
  }

  @Override
  public void onFault(RuntimeException cause) {
    finish();
    sender.onFault();
  }

  private void finish() {
    ended = true;
    content.release();
    events.release();
  }

  private void logFailure(String reason) {
    proxiedRequest
        .log()
        .addFailure(
            EventLog.event("relay-failed")
                .with("id", proxiedRequest.attemptId())
                .with("vm", vm)
                .with("reason", reason));
  }
}
