package org.zinniaspan.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.forwarding.EndpointSelector.Selection;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.AnswerHandler;
import org.zinniaspan.transport.OutboundConnection;

/** One request at one endpoint: reads the answer and judges what it means. */
final class EndpointAttempt implements AnswerHandler {

  private enum Meaning {
    STREAM,
    WHOLE,
    NOT_RUN,
    UNUSABLE
  }

  private final Exchange exchange;
  private final Selection selection;
  private final OutboundConnection connection;
  private final TrackedEndpoint endpoint;
  private final long sentMs;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final EventSplitter splitter = new EventSplitter();
  private HttpResponse head;
  private Meaning meaning = Meaning.UNUSABLE;
  private boolean promptRead;
  private boolean ended;

  EndpointAttempt(Exchange exchange, Selection selection, OutboundConnection connection) {
    this.exchange = exchange;
    this.selection = selection;
    this.connection = connection;
    this.endpoint = selection.endpoint();
    this.sentMs = exchange.context().clock().nowMs();
  }

  void send(HttpRequest request, byte[] body) {
    endpoint.onSent(selection.uncachedTokens());
    exchange.prompt().ifPresent(endpoint::recordPrompt);
    connection.send(request, body, this);
  }

  /** Returns whether bytes of the request may have reached the endpoint. */
  boolean mayHaveRun() {
    return connection.wasOpened();
  }

  /** Drops the request; the endpoint notices by the end of its connection. */
  void cancel() {
    if (!ended) {
      end();
      connection.reset();
    }
  }

  @Override
  public boolean onHead(HttpResponse answer) {
    if (!exchange.isFor(answer)) {
      exchange
          .log()
          .addFailure(
              EventLog.event("foreign-answer-skipped")
                  .with("id", exchange.id())
                  .with("endpoint", endpoint.listed().id()));
      return false;
    }
    head = answer;
    meaning = meaningOf(answer);
    return true;
  }

  private Meaning meaningOf(HttpResponse answer) {
    Dialect.AnswerFacts facts = exchange.context().dialect().answerFacts(answer);
    if (facts.notRun()) {
      return Meaning.NOT_RUN;
    }
    boolean promise =
        switch (answer.getCode()) {
          case HttpStatus.SC_REQUEST_TIMEOUT,
              HttpStatus.SC_MISDIRECTED_REQUEST,
              HttpStatus.SC_TOO_MANY_REQUESTS,
              HttpStatus.SC_SERVICE_UNAVAILABLE ->
              true;
          default -> false;
        };
    if (!facts.signed() || facts.encoded() || promise || facts.attemptId().isEmpty()) {
      return Meaning.UNUSABLE;
    }
    boolean streams = exchange.route().kind() == RouteKind.STREAMING;
    return streams && answer.getCode() == HttpStatus.SC_OK ? Meaning.STREAM : Meaning.WHOLE;
  }

  @Override
  public void onBody(ByteBuffer part) {
    if (meaning == Meaning.STREAM) {
      boolean added = false;
      for (EventSplitter.Event event : splitter.add(part)) {
        onPromptRead();
        if (!exchange.hasEvent(event)) {
          exchange.onEvent(head, event);
          added = true;
        }
      }
      if (added) {
        exchange.flush();
      }
    } else {
      content.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
    }
  }

  private void onPromptRead() {
    if (!promptRead) {
      promptRead = true;
      endpoint.onPromptDone(selection.uncachedTokens());
      long now = exchange.context().clock().nowMs();
      endpoint.onDelay(exchange.toleratesPauses(), now - sentMs - selection.expectedMs(), now);
    }
  }

  @Override
  public void onEnd() {
    end();
    exchange.context().connections().giveBack(endpoint.listed(), connection);
    long now = exchange.context().clock().nowMs();
    switch (meaning) {
      case STREAM -> {
        endpoint.onSuccess(now);
        if (!exchange.toleratesPauses()) {
          endpoint.onPause(exchange.longestPauseMs(), now);
        }
        exchange.onStreamEnd(head, splitter.rest());
      }
      case WHOLE -> onWhole(now);
      case NOT_RUN -> {
        endpoint.onFailure(now);
        exchange.onNotRun(head.getCode());
      }
      default -> {
        endpoint.onFailure(now);
        exchange
            .log()
            .addFailure(
                EventLog.event("answer-unusable")
                    .with("id", exchange.id())
                    .with("endpoint", endpoint.listed().id())
                    .with("status", head.getCode()));
        exchange.onBroken(Optional.empty());
      }
    }
  }

  private void onWhole(long now) {
    int status = head.getCode();
    if (status >= HttpStatus.SC_INTERNAL_SERVER_ERROR) {
      endpoint.onFailure(now);
      if (exchange.retriesFailure(status)) {
        return;
      }
    } else {
      endpoint.onSuccess(now);
    }
    exchange.onWholeAnswer(head, content.toByteArray());
  }

  @Override
  public void onBroken(boolean opened, Optional<Exception> cause) {
    end();
    endpoint.onFailure(exchange.context().clock().nowMs());
    exchange
        .log()
        .addFailure(
            EventLog.event("endpoint-connection-lost")
                .with("id", exchange.id())
                .with("endpoint", endpoint.listed().id())
                .with("opened", opened)
                .with("cause", cause.map(Exception::toString).orElse("closed"))
                .with("afterMs", exchange.context().clock().nowMs() - sentMs));
    if (opened) {
      exchange.onBroken(cause);
    } else {
      exchange.onNotSent(cause);
    }
  }

  private void end() {
    ended = true;
    endpoint.onEnded();
    if (!promptRead) {
      promptRead = true;
      endpoint.onPromptDone(selection.uncachedTokens());
    }
  }
}
