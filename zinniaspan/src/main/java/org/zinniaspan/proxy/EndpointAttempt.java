package org.zinniaspan.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.EndpointSelector.Selection;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.MeasuredEngineSpeed;
import org.zinniaspan.forwarding.PauseMedian;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptCrash;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.SendLimits;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.OutboundConnection;
import org.zinniaspan.transport.ResponseBody;
import org.zinniaspan.transport.ResponseHandler;

/** One send of a request to one endpoint: reads the response and classifies it. */
final class EndpointAttempt implements Attempt, ResponseHandler {

  /** How a response is handled. */
  private enum Verdict {
    /** Passed on event by event. */
    STREAM,
    /** Passed on once it is complete. */
    WHOLE,
    /** Not passed on: the endpoint states that it did not run the request. */
    NOT_RUN,
    /**
     * Not passed on: the endpoint's stamp or the attempt id is missing, the body is encoded, or the
     * status implies, without an explicit statement on this request, that the request did not run.
     */
    UNUSABLE
  }

  /**
   * Time that the body of a response may take if its head states that the request did not run, in
   * milliseconds.
   */
  private static final long MAX_REJECTION_BODY_MS = 100;

  /**
   * Share of the latency target that a plain call takes at an endpoint that is slow for the moment,
   * so that the next calls go to others.
   */
  private static final double SLOW_CALL_TARGET_SHARE = 0.5;

  private final RequestSender sender;
  private final ProxiedRequest proxiedRequest;
  private final Selection selection;
  private final OutboundConnection connection;
  private final TrackedEndpoint endpoint;
  private final String softwareVersion;
  private final long sentMs;
  private final ResponseBody content;
  private final EventForwarder events;
  private final PauseMedian pauses = new PauseMedian();
  private HttpResponse head;
  private Dialect.ResponseFacts facts;
  private Verdict verdict = Verdict.UNUSABLE;
  private boolean unloaded;
  private boolean rejectionLimitKnown;
  private long firstEventMs;
  private long lastBytesMs;
  private boolean promptDone;
  private boolean answered;
  private boolean ended;

  EndpointAttempt(RequestSender sender, Selection selection, OutboundConnection connection) {
    this.sender = sender;
    this.proxiedRequest = sender.request();
    this.content = new ResponseBody(proxiedRequest.context().bodies().responses());
    this.events = new EventForwarder(proxiedRequest);
    this.selection = selection;
    this.connection = connection;
    this.endpoint = selection.endpoint();
    this.softwareVersion = endpoint.listed().softwareVersion();
    this.sentMs = proxiedRequest.context().clock().nowMs();
    this.lastBytesMs = sentMs;
  }

  void send(HttpRequest request, byte[] body) {
    long now = proxiedRequest.context().clock().nowMs();
    unloaded = endpoint.isUnloaded(now);
    rejectionLimitKnown = limits().rejections().appliesTo(endpoint.listed());
    endpoint.onSent(selection.uncachedTokens(), now);
    proxiedRequest.prompt().ifPresent(endpoint::recordPrompt);
    reachability().onSent();
    limits().onSent(endpoint.listed());
    connection.whenOpened(this::onConnected);
    connection.send(request, body, this);
  }

  private void onConnected() {
    reachability().onConnected(endpoint.listed().id());
    limits().onConnected(endpoint.listed());
  }

  @Override
  public boolean mayHaveRun() {
    return connection.wasOpened() && verdict != Verdict.NOT_RUN;
  }

  /** Returns the endpoint to which the request is sent. */
  ListedEndpoint endpoint() {
    return endpoint.listed();
  }

  /** Returns whether the connection is still to be opened, so that nothing was sent. */
  boolean isOpening() {
    return !ended && !connection.wasOpened();
  }

  /** Returns the software version that the endpoint had when the request was sent. */
  @Override
  public String softwareVersion() {
    return softwareVersion;
  }

  /** Returns the time since the last byte of the response, or since the request was sent. */
  long silentMs(long nowMs) {
    return nowMs - lastBytesMs;
  }

  @Override
  public void cancel() {
    if (!ended) {
      finish();
      if (mayHaveRun()) {
        double slotMs = speed().slotMs();
        endpoint.onAbandoned(proxiedRequest.context().clock().nowMs() + Math.round(slotMs));
      }
      connection.reset();
    }
  }

  /** Ends a rejection whose body does not come. */
  void endRejection(long nowMs) {
    if (!ended && verdict == Verdict.NOT_RUN && silentMs(nowMs) >= MAX_REJECTION_BODY_MS) {
      connection.reset();
      onRejected();
    }
  }

  private EndpointReachability reachability() {
    return proxiedRequest.context().reachability();
  }

  private SendLimits limits() {
    return proxiedRequest.context().limits();
  }

  private void onBytes() {
    lastBytesMs = proxiedRequest.context().clock().nowMs();
    reachability().onBytes();
  }

  @Override
  public boolean onHead(HttpResponse response) {
    onBytes();
    facts = proxiedRequest.context().dialect().responseFacts(response);
    recordStatements(response.getCode());
    if (!proxiedRequest.matchesAttempt(response)) {
      proxiedRequest
          .log()
          .addFailure(
              EventLog.event("foreign-answer-skipped")
                  .with("id", proxiedRequest.attemptId())
                  .with("endpoint", endpoint.listed().id()));
      return false;
    }
    head = response;
    verdict = classify(response);
    return true;
  }

  /**
   * Decides how a response is handled.
   *
   * <p>Statuses 408, 421, 429 and 503 tell a client that the request did not run. If the endpoint
   * does not state the same explicitly, such a response is not passed on, as the client might
   * resend a request that has run.
   */
  private Verdict classify(HttpResponse response) {
    if (facts.notRun() && isForThisRequest()) {
      return Verdict.NOT_RUN;
    }
    boolean impliesNotRun =
        switch (response.getCode()) {
          case HttpStatus.SC_REQUEST_TIMEOUT,
              HttpStatus.SC_MISDIRECTED_REQUEST,
              HttpStatus.SC_TOO_MANY_REQUESTS,
              HttpStatus.SC_SERVICE_UNAVAILABLE ->
              true;
          default -> false;
        };
    if (!facts.signed() || facts.encoded() || impliesNotRun || facts.attemptId().isEmpty()) {
      return Verdict.UNUSABLE;
    }
    boolean streams = proxiedRequest.route().kind() == RouteKind.STREAMING;
    return streams && response.getCode() == HttpStatus.SC_OK ? Verdict.STREAM : Verdict.WHOLE;
  }

  @Override
  public void onBody(ByteBuffer part) {
    onBytes();
    if (verdict == Verdict.STREAM) {
      if (events.add(head, part)) {
        onEvents();
      }
      if (!ended && events.isTooLong()) {
        abandon();
      }
    } else if (!content.add(part)) {
      abandon();
    }
  }

  /** Ends the connection to an endpoint that sends bytes without end. */
  private void abandon() {
    connection.reset();
    onConnectionLost(true, Optional.of(new IOException("the answer is too long")));
  }

  private void onEvents() {
    pauses.onEvents(proxiedRequest.context().clock().nowMs());
    if (promptDone) {
      recordAnswered();
    }
    onPromptDone();
  }

  /**
   * Records that the request has crashed no endpoint; not at the first event, with which one that
   * crashes may have begun.
   */
  private void recordAnswered() {
    if (!answered) {
      answered = true;
      proxiedRequest.context().quarantine().onAnswered(proxiedRequest.traits().all());
    }
  }

  private void onPromptDone() {
    if (!promptDone) {
      promptDone = true;
      endpoint.onPromptDone(selection.uncachedTokens());
      long now = proxiedRequest.context().clock().nowMs();
      firstEventMs = now;
      sender.onFirstEvent(selection);
      if (unloaded) {
        speed().onFirstEvent(selection.uncachedTokens(), now - sentMs);
      }
      endpoint.onDelay(
          proxiedRequest.toleratesPauses(), now - sentMs - selection.expectedMs(), now);
    }
  }

  @Override
  public void onEnd() {
    if (verdict == Verdict.STREAM && endsTooEarly()) {
      connection.close();
      onConnectionLost(true, Optional.empty());
      return;
    }
    final byte[] body = content.take();
    if (verdict != Verdict.NOT_RUN) {
      finish();
    }
    if (isForThisRequest()) {
      proxiedRequest.context().connections().release(endpoint.listed(), connection);
    } else {
      connection.close();
    }
    long now = proxiedRequest.context().clock().nowMs();
    switch (verdict) {
      case STREAM -> {
        endpoint.onSuccess(now);
        recordAnswered();
        recordStream(now);
        if (!proxiedRequest.toleratesPauses()) {
          endpoint.onPause(proxiedRequest.longestPauseMs(), now);
        }
        proxiedRequest.onStreamEnd(head);
      }
      case WHOLE -> onWholeResponse(body, now);
      case NOT_RUN -> onRejected();
      default -> {
        endpoint.onFailure(now);
        proxiedRequest
            .log()
            .addFailure(
                EventLog.event("answer-unusable")
                    .with("id", proxiedRequest.attemptId())
                    .with("endpoint", endpoint.listed().id())
                    .with("status", head.getCode()));
        sender.onConnectionLost(Optional.empty());
      }
    }
  }

  /**
   * Returns whether the response is one to this request. Without an id, it may be a copy of that to
   * an earlier request of the connection.
   */
  private boolean isForThisRequest() {
    return facts.attemptId().isPresent() || !connection.wasReused();
  }

  /**
   * Returns whether a stream was broken off although its framing is complete: inside an event, or,
   * if the end of the connection is its end, before the first one.
   */
  private boolean endsTooEarly() {
    return events.hasIncompleteEvent() || (!ResponseBody.statesEnd(head) && !promptDone);
  }

  /**
   * Records what an endpoint states of itself in the head of each response, whatever the rest of
   * the response is like.
   */
  private void recordStatements(int status) {
    if (facts.draining()) {
      proxiedRequest.context().directory().onStatedDraining(endpoint.listed());
    }
    facts
        .coldMs()
        .ifPresent(ms -> proxiedRequest.context().directory().onStatedCold(endpoint.listed(), ms));
    limits().onResponse(endpoint.listed(), facts.requestsPerSecond(), facts.rejectionsPerSecond());
    if (facts.notRun() || status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
      facts.retryAfterMs().ifPresent(this::pauseEndpoint);
    }
  }

  /** Called when the endpoint has stated that it did not run the request. */
  private void onRejected() {
    finish();
    endpoint.onFailure(proxiedRequest.context().clock().nowMs());
    recordRejection();
    sender.onNotRun(head.getCode());
  }

  private void recordRejection() {
    limits().rejections().onRejected(endpoint.listed());
    facts
        .rejectionsPerSecond()
        .ifPresent(
            limit ->
                proxiedRequest
                    .log()
                    .addFailure(
                        EventLog.event("endpoint-rejected")
                            .with("id", proxiedRequest.attemptId())
                            .with("endpoint", endpoint.listed().id())
                            .with("rejectionsPerSecond", limit)
                            .with("limitKnown", rejectionLimitKnown)
                            .with("inFlight", endpoint.inFlight())));
  }

  private void pauseEndpoint(long retryAfterMs) {
    proxiedRequest.context().backoff().onRejected(endpoint.listed(), retryAfterMs);
    proxiedRequest
        .log()
        .addFailure(
            EventLog.event("endpoint-paused")
                .with("id", proxiedRequest.attemptId())
                .with("endpoint", endpoint.listed().id())
                .with("retryAfterMs", retryAfterMs));
  }

  private MeasuredEngineSpeed speed() {
    return proxiedRequest.context().speeds().of(endpoint.listed().service());
  }

  private void recordStream(long now) {
    long outputTokens = proxiedRequest.prompt().map(Prompt::maxOutputTokens).orElse(0L);
    if (promptDone) {
      endpoint.speed().onStream(pauses.medianMs(), pauses.count(), now);
      speed().onStream(now - sentMs, now - firstEventMs, outputTokens, endpoint.listed().slots());
    }
  }

  private void onWholeResponse(byte[] body, long now) {
    int status = head.getCode();
    if (status >= HttpStatus.SC_INTERNAL_SERVER_ERROR) {
      endpoint.onFailure(now);
      if (sender.tryRetryAfterError(status)) {
        return;
      }
    } else {
      endpoint.onSuccess(now);
      recordAnswered();
      recordPlainCall(now - sentMs, now);
    }
    proxiedRequest.onWholeResponse(head, body);
  }

  private void recordPlainCall(long elapsedMs, long now) {
    speed().onPlainCall(elapsedMs);
    if (proxiedRequest.prompt().isPresent()) {
      return;
    }
    endpoint.speed().onPlainCall(elapsedMs, now);
    if (elapsedMs > SLOW_CALL_TARGET_SHARE * proxiedRequest.route().targetLatencyMs()) {
      endpoint.onDelay(false, elapsedMs - speed().plainCallMs(), now);
    }
  }

  @Override
  public void onConnectionLost(boolean opened, Optional<Exception> cause) {
    if (verdict == Verdict.NOT_RUN) {
      onRejected();
      return;
    }
    final boolean hadFirstEvent = promptDone;
    finish();
    endpoint.onFailure(proxiedRequest.context().clock().nowMs());
    proxiedRequest
        .log()
        .addFailure(
            EventLog.event("endpoint-connection-lost")
                .with("id", proxiedRequest.attemptId())
                .with("endpoint", endpoint.listed().id())
                .with("opened", opened)
                .with("cause", cause.map(Exception::toString).orElse("closed"))
                .with("answerBegun", head != null)
                .with("firstEvent", hadFirstEvent)
                .with(
                    "promptParts",
                    RequestEvents.parts(
                        proxiedRequest.prompt().map(Prompt::partIds).orElse(List.of())))
                .with("request", proxiedRequest.traits().fingerprint())
                .with("afterMs", proxiedRequest.context().clock().nowMs() - sentMs));
    if (opened) {
      if (!hadFirstEvent) {
        suspectRequest();
      }
      sender.onConnectionLost(cause);
    } else {
      reachability().onConnectFailed(endpoint.listed().id());
      // A VM that reaches no endpoint is cut off itself.
      if (!reachability().isLost()) {
        limits().onConnectFailed(endpoint.listed());
      }
      sender.onNotSent(cause);
    }
  }

  @Override
  public void onFault(RuntimeException cause) {
    finish();
    sender.onFault();
  }

  private void suspectRequest() {
    proxiedRequest
        .context()
        .crashWitness()
        .onRequestLost(
            endpoint.listed(),
            new PromptCrash(
                endpoint.listed().id(),
                proxiedRequest.attemptId(),
                List.copyOf(proxiedRequest.traits().all()),
                head != null,
                proxiedRequest.context().clock().nowMs()));
  }

  private void finish() {
    if (ended) {
      return;
    }
    ended = true;
    content.release();
    events.release();
    endpoint.onEnded();
    reachability().onEnded();
    if (!promptDone) {
      promptDone = true;
      endpoint.onPromptDone(selection.uncachedTokens());
    }
  }
}
