package org.zinniaspan.proxy;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.fleet.StreamOriginResult;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteDecision;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StreamResume;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.InboundConnection;

/**
 * One client attempt, from its arrival to its final response: routing, waiting and responding.
 * {@link RequestSender} sends it.
 *
 * <p>All methods run under the reactor's lock.
 */
final class ProxiedRequest {

  /** Longest time that a request waits for a confirmation of the configuration, in milliseconds. */
  private static final long MAX_CONFIRMATION_WAIT_MS = 600;

  /**
   * Retry-After of a request that did not run because no endpoint accepted it in time, in
   * milliseconds.
   */
  static final long NOT_RUN_RETRY_AFTER_MS = 400;

  /**
   * Retry-After of a refusal that concerns only this VM, in milliseconds; short, as another VM can
   * serve the request.
   */
  private static final long OTHER_VM_RETRY_AFTER_MS = 10;

  /** Reason for refusing a request on a route with API keys while keys may be out of date. */
  private static final String CONFIGURATION_NOT_CONFIRMED = "configuration-not-confirmed";

  /** Outcome of a request whose client has disconnected. */
  private static final String CLIENT_LEFT = "client-left";

  private final ForwardContext context;
  private final InboundConnection client;
  private final HttpRequest head;
  private final byte[] body;
  private final boolean relayed;
  private final RequestFacts facts;
  private final RequestLog log = new RequestLog();
  private final StreamDelivery delivery;
  private final long arrivalMs;
  private final StreamVersion streamVersion = new StreamVersion();
  private final RequestSender sender;

  private Optional<RouteDecision.Routed> routed = Optional.empty();
  private long version;
  private long deadlineMs = Long.MAX_VALUE;
  private Optional<RequestTraits> traits = Optional.empty();
  private boolean finished;
  private boolean refusedByVm;
  private boolean awaitingConfirmation;

  /**
   * Creates a request that was not started.
   *
   * @param relayed whether another VM relays the request to this one
   */
  ProxiedRequest(
      ForwardContext context,
      InboundConnection client,
      HttpRequest head,
      byte[] body,
      boolean relayed) {
    this.context = context;
    this.client = client;
    this.head = head;
    this.body = body;
    this.relayed = relayed;
    this.facts = context.dialect().requestFacts(head);
    this.arrivalMs = context.clock().nowMs();
    this.delivery = new StreamDelivery(client, context.dialect(), context.clock());
    this.sender = new RequestSender(context, this);
  }

  boolean isFinished() {
    return finished;
  }

  HttpRequest head() {
    return head;
  }

  byte[] body() {
    return body;
  }

  RequestFacts facts() {
    return facts;
  }

  /** Returns whether another VM relays the request to this one. */
  boolean isRelayed() {
    return relayed;
  }

  /** Returns when the request was read completely, in milliseconds. */
  long arrivalMs() {
    return arrivalMs;
  }

  /** Returns when the request has to be answered, in milliseconds. */
  long deadlineMs() {
    return deadlineMs;
  }

  /** Returns the part of the stream that the client has received. */
  StreamDelivery delivery() {
    return delivery;
  }

  /** Returns the software version at which the stream goes on. */
  StreamVersion streamVersion() {
    return streamVersion;
  }

  /** Returns how the routing table applies to the request; empty before it was found. */
  Optional<RouteDecision.Routed> routed() {
    return routed;
  }

  Optional<Prompt> prompt() {
    return facts.prompt();
  }

  /** Returns what may make the request crash endpoints. */
  RequestTraits traits() {
    if (traits.isEmpty()) {
      traits = Optional.of(RequestTraits.of(head, facts, body));
    }
    return traits.get();
  }

  /** Returns the route; there is one once the request was sent to an endpoint. */
  Route route() {
    return routed.orElseThrow().route();
  }

  String service() {
    return routed.orElseThrow().service();
  }

  /**
   * Returns the regions in which the request may be processed, by the newest configuration. On an
   * anonymous route, those of the organisation that holds its key apply too.
   */
  HomeRegions homeRegions() {
    RoutingTable newest = context.follower().table().orElseThrow();
    Optional<OrganisationSpec> organisation =
        routed
            .flatMap(RouteDecision.Routed::organisation)
            .or(() -> facts.apiKey().flatMap(newest::organisation));
    return newest.homeRegions(route(), organisation);
  }

  /** Returns whether the request waits until an endpoint takes it. */
  boolean isAwaitingRoom() {
    return !finished && sender.isAwaitingRoom();
  }

  /**
   * Returns the rank of the request at endpoints, 0 for the most urgent; the last before routing.
   */
  int rank() {
    return routed.map(RouteDecision.Routed::rank).orElse(Integer.MAX_VALUE);
  }

  /** Returns the longest pause between two events of the stream so far, in milliseconds. */
  long longestPauseMs() {
    return delivery.longestPauseMs();
  }

  boolean toleratesPauses() {
    return routed.orElseThrow().toleratesPauses();
  }

  ForwardContext context() {
    return context;
  }

  /** Returns the log lines of this request. */
  RequestLog log() {
    return log;
  }

  /** Returns the id of the client attempt; {@code none} if the client sent none. */
  String attemptId() {
    return facts.attemptId().orElse("none");
  }

  boolean matchesAttempt(HttpResponse response) {
    return context
        .dialect()
        .responseFacts(response)
        .attemptId()
        .map(id -> id.equals(attemptId()))
        .orElse(true);
  }

  /**
   * Finds the route, then sends the request to an endpoint, refuses it, or waits until the
   * configuration is confirmed.
   */
  void start() {
    Optional<RoutingTable> table = context.follower().table();
    if (table.isEmpty() || !context.follower().evacuatedZones().isKnown()) {
      refuseAndClose("no-configuration");
      return;
    }
    if (facts.attemptId().isEmpty()) {
      respondLocally(HttpStatus.SC_BAD_REQUEST, "no-attempt-id", Optional.empty());
      return;
    }
    version = table.get().version();
    RouteDecision decision =
        RouteDecision.of(
            table.get(), facts, context.tableFreshness().isFresh(), context.random().nextDouble());
    if (decision instanceof RouteDecision.Unconfirmed) {
      awaitConfirmation();
      return;
    }
    awaitingConfirmation = false;
    if (decision instanceof RouteDecision.Routed found) {
      routed = Optional.of(found);
      long limitMs = Math.min(facts.deadlineMs().orElse(route().timeoutMs()), route().timeoutMs());
      deadlineMs = arrivalMs + limitMs;
      if (!relayed) {
        context.retryBudget(found.service()).onRequest();
      }
      if (relayed) {
        log.addFailure(RequestEvents.relayReceived(attemptId(), head));
      }
      facts.resume().ifPresent(resume -> log.addFailure(RequestEvents.resume(attemptId(), resume)));
      if (relayed) {
        RelayHeaders.value(head, RelayHeaders.SOFTWARE_VERSION).ifPresent(streamVersion::set);
      }
      if (facts.resume().isPresent()
          && route().kind() == RouteKind.STREAMING
          && !streamVersion.isKnown()) {
        findOrigin(facts.resume().get());
      } else {
        sender.send();
      }
    } else if (decision instanceof RouteDecision.NoRoute) {
      respondLocally(HttpStatus.SC_NOT_FOUND, "no-route", Optional.empty());
    } else {
      respondLocally(HttpStatus.SC_UNAUTHORIZED, "unknown-key", Optional.empty());
    }
  }

  /** Refuses the request because the process is shutting down. */
  void refuseForShutdown() {
    refuseAndClose("stopping");
  }

  /** Ends the request because the process exits; another VM may serve it if it has not run. */
  void endForShutdown() {
    client.closeAfterResponse();
    failForVm("stopping");
  }

  /** Refuses the request because this VM is near one of its limits; another one may serve it. */
  void refuseForLackOfResources() {
    refuseAndClose("vm-limits");
  }

  /** Returns the size of the request's body in bytes. */
  int bodyBytes() {
    return body.length;
  }

  /**
   * Waits for the confirmation of the configuration that is in progress.
   *
   * <p>If the platform is unreachable, the request is refused at once, as another VM may serve it
   * sooner.
   */
  private void awaitConfirmation() {
    awaitingConfirmation = context.follower().isReachable();
    if (!awaitingConfirmation) {
      refuseAndClose(CONFIGURATION_NOT_CONFIRMED);
    }
  }

  /**
   * Refuses the request and closes the connection, so that the client's next attempt reaches
   * another VM.
   */
  private void refuseAndClose(String reason) {
    client.closeAfterResponse();
    refusedByVm = true;
    refuse(reason, OTHER_VM_RETRY_AFTER_MS);
  }

  /** Finds the software version that began a stream before the stream is resumed. */
  private void findOrigin(StreamResume resume) {
    context
        .origins()
        .lookup()
        .find(resume.firstAttemptId(), service(), result -> onOrigin(resume, result));
  }

  private void onOrigin(StreamResume resume, StreamOriginResult result) {
    if (finished) {
      return;
    }
    log.addFailure(
        EventLog.event("stream-origin")
            .with("id", attemptId())
            .with("firstAttempt", resume.firstAttemptId().orElse("none"))
            .with("result", result)
            .with("tookMs", context.clock().nowMs() - arrivalMs));
    if (result instanceof StreamOriginResult.Known known) {
      streamVersion.set(known.softwareVersion());
      sender.send();
    } else {
      refuse("stream-origin-unknown", NOT_RUN_RETRY_AFTER_MS);
    }
  }

  /** Checks the wait for a confirmation and the deadline of the request. */
  void tick(long nowMs) {
    if (finished) {
      return;
    }
    if (awaitingConfirmation) {
      if (context.tableFreshness().isFresh()) {
        start();
      } else if (nowMs - arrivalMs >= MAX_CONFIRMATION_WAIT_MS
          || !context.follower().isReachable()) {
        refuseAndClose(CONFIGURATION_NOT_CONFIRMED);
      }
      return;
    }
    if (nowMs >= deadlineMs) {
      fail("timeout");
    } else {
      sender.tick(nowMs);
    }
  }

  /** Called when the client has disconnected. */
  void onClientLeft() {
    if (!finished) {
      finish(CLIENT_LEFT, 0);
      sender.cancel();
    }
  }

  /** Ends the request without a response, as it cannot be handled; its connection is closed. */
  void endAfterFault() {
    if (!finished) {
      finish("fault", 0);
      sender.cancel();
    }
  }

  /** Passes on that another VM refused the request, which did not run. */
  void onRefusedByRelay(HttpResponse response, byte[] content) {
    sender.onResponded();
    if (delivery.isStarted() || sender.mayHaveRun()) {
      fail("refused-by-relay");
      return;
    }
    HttpResponse clientResponse = context.dialect().clientResponse(response);
    finish("refused-by-relay", response.getCode());
    client.sendResponse(clientResponse, content);
  }

  /** Passes a complete response on to the client. */
  void onWholeResponse(HttpResponse response, byte[] content) {
    sender.onResponded();
    if (delivery.isStarted()) {
      // The head of a response was sent already, and a second one cannot follow.
      fail("resume-failed");
      return;
    }
    HttpResponse clientResponse = context.dialect().clientResponse(response);
    if (relayed) {
      RelayHeaders.set(clientResponse, RelayHeaders.ENDPOINT, sender.receiver());
    }
    finish("answered", response.getCode());
    client.sendResponse(clientResponse, content);
  }

  /** Passes an event of a stream on to the client; the head is sent before the first event. */
  void onEvent(HttpResponse response, SseSplitter.Event event) {
    String softwareVersion = sender.softwareVersion();
    if (!streamVersion.isKnown()) {
      streamVersion.set(softwareVersion);
      context.origins().sharing().record(attemptId(), service(), softwareVersion, leftMs());
    }
    if (relayed) {
      delivery.stateEndpoint(sender.receiver(), softwareVersion);
    }
    delivery.add(response, event);
  }

  /** Returns the time until the client's deadline; that of the route may be earlier. */
  long leftMs() {
    long limitMs = facts.deadlineMs().orElse(route().timeoutMs());
    return Math.max(0, arrivalMs + limitMs - context.clock().nowMs());
  }

  /** Returns whether an event was sent to the client before. */
  boolean wasDelivered(SseSplitter.Event event) {
    return delivery.wasDelivered(event);
  }

  void flush() {
    client.flushResponse();
  }

  /** Ends the response after the last event of a stream. */
  void onStreamEnd(HttpResponse response) {
    sender.onResponded();
    delivery.start(response);
    finish("streamed", response.getCode());
    delivery.end();
  }

  /** Fails the request as this VM cannot send it on, though another one may. */
  void failForVm(String reason) {
    refusedByVm = true;
    fail(reason);
  }

  /**
   * Ends the request without an endpoint's response: cuts a stream that has begun, refuses a
   * request that did not run, and answers any other one with status 502 or 504.
   */
  void fail(String reason) {
    if (delivery.isStarted()) {
      finish("cut-" + reason, 0);
      sender.cancel();
      client.close();
    } else if (sender.mayHaveRun()) {
      sender.cancel();
      int status =
          reason.equals("timeout") ? HttpStatus.SC_GATEWAY_TIMEOUT : HttpStatus.SC_BAD_GATEWAY;
      respondLocally(status, reason, Optional.empty());
    } else {
      sender.cancel();
      refuse(reason, NOT_RUN_RETRY_AFTER_MS);
    }
  }

  /** Refuses the request, which did not run. */
  void refuse(String reason, long retryAfterMs) {
    respondLocally(HttpStatus.SC_SERVICE_UNAVAILABLE, reason, Optional.of(retryAfterMs));
  }

  private void respondLocally(int status, String reason, Optional<Long> retryAfterMs) {
    byte[] content = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    HttpResponse response =
        context.dialect().localResponse(status, facts.attemptId(), retryAfterMs);
    if (relayed && refusedByVm && status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
      response.setHeader(RelayHeaders.REFUSED_BY_VM, "1");
    }
    finish(reason, status);
    client.sendResponse(response, content);
  }

  private void finish(String outcome, int status) {
    finished = true;
    long durationMs = context.clock().nowMs() - arrivalMs;
    ForwardMetrics.CompletedRequest completed =
        new ForwardMetrics.CompletedRequest(
            routed.map(RouteDecision.Routed::route),
            outcome,
            status,
            sender.sendCount(),
            firstByteMs(),
            durationMs);
    context.metrics().recordRequest(completed);
    boolean failed =
        status >= HttpStatus.SC_INTERNAL_SERVER_ERROR
            || (status == 0 && !outcome.equals(CLIENT_LEFT));
    EventLog line =
        RequestEvents.ended(attemptId(), version, completed, delivery.longestPauseMs())
            .with("endpoint", sender.receiver())
            .with("confirmationAgeMs", context.tableFreshness().ageMs())
            .with("relayed", relayed);
    if (failed) {
      log.addFailure(line);
    } else {
      log.add(line);
    }
    boolean inTime = RequestEvents.meetsTargets(completed, delivery.longestPauseMs());
    log.complete(attemptId(), !failed && inTime);
  }

  /** Returns the time from arrival to the first event, in milliseconds; -1 if there was none. */
  private long firstByteMs() {
    return delivery.isStarted() ? delivery.startedAtMs() - arrivalMs : -1;
  }
}
