package org.zinniaspan.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.EndpointSelector;
import org.zinniaspan.forwarding.EndpointSelector.Selection;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.Refusal;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.ServiceRetryBudget;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.InboundConnection;

/**
 * One client attempt from its arrival to its final answer.
 *
 * <p>All methods run under the reactor's lock.
 */
final class Exchange {

  /** Longest wait for a confirmation of the configuration, in milliseconds. */
  private static final long MOST_TRUST_WAIT_MS = 600;

  /** When to come back after a refusal for want of an endpoint, in milliseconds. */
  private static final long RETRY_AFTER_MS = 400;

  /** When to come back after a refusal that concerns this VM only: another takes it, in ms. */
  private static final long ELSEWHERE_RETRY_AFTER_MS = 10;

  /** Longest idle time of a kept connection that an idempotent request may use, in ms. */
  private static final long MOST_IDLE_MS = 3_000;

  /** Least time left with which another endpoint is tried, in milliseconds. */
  private static final long LEAST_RETRY_MS = 60;

  /** Reason for which a request with a key is refused while keys may be out of date. */
  private static final String NOT_CONFIRMED = "configuration-not-confirmed";

  /** Outcome of a request whose client has gone. */
  private static final String LEFT = "client-left";

  private final ForwardContext context;
  private final InboundConnection client;
  private final HttpRequest head;
  private final byte[] body;
  private final RequestFacts facts;
  private final RequestLog log = new RequestLog();
  private final long arrivedMs;
  private final Set<String> tried = new HashSet<>();

  private Route route;
  private Optional<OrganisationSpec> organisation = Optional.empty();
  private String service = "";
  private long version;
  private int rank;
  private boolean toleratesPauses;
  private boolean leastUrgent;
  private long endMs = Long.MAX_VALUE;
  private int sends;
  private boolean mayHaveRun;
  private boolean done;
  private boolean waitsForTrust;
  private EndpointAttempt attempt;
  private boolean answerBegun;
  private Optional<String> lastEvent = Optional.empty();
  private long firstByteMs = -1;
  private long lastEventMs;
  private long longestPauseMs;
  private String endpointId = "none";

  Exchange(ForwardContext context, InboundConnection client, HttpRequest head, byte[] body) {
    this.context = context;
    this.client = client;
    this.head = head;
    this.body = body;
    this.facts = context.dialect().requestFacts(head);
    this.arrivedMs = context.clock().nowMs();
  }

  boolean isDone() {
    return done;
  }

  Optional<Prompt> prompt() {
    return facts.prompt();
  }

  Route route() {
    return route;
  }

  /** Returns the longest pause between two events so far, in milliseconds. */
  long longestPauseMs() {
    return longestPauseMs;
  }

  boolean toleratesPauses() {
    return toleratesPauses;
  }

  ForwardContext context() {
    return context;
  }

  /** Returns the log lines of this request. */
  RequestLog log() {
    return log;
  }

  /** Returns the id of the client attempt, for logs. */
  String id() {
    return facts.attemptId().orElse("none");
  }

  boolean isFor(HttpResponse answer) {
    return context
        .dialect()
        .answerFacts(answer)
        .attemptId()
        .map(id -> id.equals(id()))
        .orElse(true);
  }

  /** Finds the route, and sends the request or refuses it. */
  void start() {
    Optional<RoutingTable> table = context.follower().table();
    if (table.isEmpty()) {
      sendAway("no-configuration");
      return;
    }
    if (facts.attemptId().isEmpty()) {
      answerOwn(HttpStatus.SC_BAD_REQUEST, "no-attempt-id", Optional.empty());
      return;
    }
    Optional<Route> found = table.get().route(facts.host(), facts.path());
    boolean open = found.map(r -> !table.get().needsKey(r)).orElse(false);
    if (!open && table.get().hasKeys() && !context.trust().isFresh()) {
      waitForTrust();
      return;
    }
    waitsForTrust = false;
    version = table.get().version();
    if (found.isEmpty()) {
      answerOwn(HttpStatus.SC_NOT_FOUND, "no-route", Optional.empty());
      return;
    }
    route = found.get();
    if (!open) {
      organisation = facts.apiKey().flatMap(table.get()::organisation);
      if (organisation.isEmpty() && table.get().needsKey(route)) {
        answerOwn(HttpStatus.SC_UNAUTHORIZED, "unknown-key", Optional.empty());
        return;
      }
    }
    rank = table.get().rank(organisation, route);
    leastUrgent = table.get().isLeastUrgent(route);
    toleratesPauses = table.get().toleratesPauses(route);
    service = route.serviceAt(context.random().nextDouble());
    long limitMs = Math.min(facts.deadlineMs().orElse(route.timeoutMs()), route.timeoutMs());
    endMs = arrivedMs + limitMs;
    context.allowance(service).onRequest();
    send();
  }

  /** Refuses the request because the process is about to end. */
  void refuseForStop() {
    sendAway("stopping");
  }

  /** Waits for a confirmation that is under way; other VMs serve sooner if the platform fails. */
  private void waitForTrust() {
    waitsForTrust = context.follower().isReachable();
    if (!waitsForTrust) {
      sendAway(NOT_CONFIRMED);
    }
  }

  /** Refuses the request so that the client's next attempt reaches another VM. */
  private void sendAway(String reason) {
    client.closeAfterAnswer();
    refuse(reason, ELSEWHERE_RETRY_AFTER_MS);
  }

  private void send() {
    Optional<Selection> selection =
        context.selector().select(context.directory().ready(service), demand(), tried);
    if (selection.isEmpty()) {
      giveUp("no-endpoint");
      return;
    }
    Optional<Refusal> refusal = admit(selection.get());
    if (refusal.isPresent()) {
      log.addFailure(
          choice("request-refused", selection.get())
              .with("reason", refusal.get().reason())
              .with("rank", rank)
              .with("retryAfterMs", refusal.get().retryAfterMs()));
      refuse(refusal.get().reason(), refusal.get().retryAfterMs());
      return;
    }
    ListedEndpoint endpoint = selection.get().endpoint().listed();
    endpointId = endpoint.id();
    tried.add(endpointId);
    sends++;
    log.add(choice("endpoint-chosen", selection.get()).with("send", sends));
    long maxIdleMs = route.isIdempotent() ? MOST_IDLE_MS : 0;
    attempt =
        new EndpointAttempt(this, selection.get(), context.connections().take(endpoint, maxIdleMs));
    attempt.send(context.dialect().endpointRequest(head, call(endpoint)), body);
  }

  private Dialect.EndpointCall call(ListedEndpoint endpoint) {
    long leftMs = Math.max(1, endMs - context.clock().nowMs());
    boolean keys = context.follower().table().map(RoutingTable::hasKeys).orElse(true);
    return new Dialect.EndpointCall(
        endpoint.id(),
        organisation.map(OrganisationSpec::name),
        keys,
        Optional.of(leftMs),
        facts.prompt().map(p -> rank),
        lastEvent,
        body.length);
  }

  private EventLog choice(String event, Selection selection) {
    TrackedEndpoint endpoint = selection.endpoint();
    long now = context.clock().nowMs();
    return EventLog.event(event)
        .with("id", id())
        .with("route", route.name())
        .with("version", version)
        .with("endpoint", endpoint.listed().id())
        .with("expectedMs", Math.round(selection.expectedMs()))
        .with("targetMs", route.targetLatencyMs())
        .with("queued", endpoint.reportedQueue())
        .with("occupancyPercent", Math.round(endpoint.occupancy() * 100))
        .with("reportAgeMs", endpoint.hasReport(now) ? endpoint.reportAgeMs(now) : -1);
  }

  /** Only the first send is refused: what was begun is brought to its end. */
  private Optional<Refusal> admit(Selection selection) {
    if (facts.prompt().isEmpty() || sends > 0 || mayHaveRun) {
      return Optional.empty();
    }
    long leftMs = endMs - context.clock().nowMs();
    return context
        .admission()
        .decide(
            new AdmissionControl.Request(
                rank, leastUrgent, toleratesPauses, route.targetLatencyMs(), leftMs),
            selection);
  }

  private EndpointSelector.Demand demand() {
    return new EndpointSelector.Demand(facts.prompt(), toleratesPauses);
  }

  /** Acts on time that has passed. */
  void tick(long nowMs) {
    if (done) {
      return;
    }
    if (waitsForTrust) {
      if (context.trust().isFresh()) {
        start();
      } else if (nowMs - arrivedMs >= MOST_TRUST_WAIT_MS || !context.follower().isReachable()) {
        sendAway(NOT_CONFIRMED);
      }
      return;
    }
    if (nowMs >= endMs) {
      giveUp("timeout");
    }
  }

  /** Called when the client has left. */
  void onClientLeft() {
    if (!done) {
      finish(LEFT, 0);
      cancelAttempt();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  /** Called when an endpoint states that the request did not run there. */
  void onNotRun(int status) {
    attempt = null;
    sendElsewhere("not-run-" + status, true);
  }

  /** Called when no connection could be opened, so that nothing was sent. */
  void onNotSent(Optional<Exception> cause) {
    attempt = null;
    sends--;
    sendElsewhere("not-sent", false);
  }

  /** Called when the endpoint's connection ended before its answer was complete. */
  void onBroken(Optional<Exception> cause) {
    attempt = null;
    mayHaveRun = true;
    if (route.isIdempotent()) {
      sendElsewhere("broken", true);
    } else {
      giveUp("broken");
    }
  }

  private void sendElsewhere(String reason, boolean drawsOnBudget) {
    long leftMs = endMs - context.clock().nowMs();
    ServiceRetryBudget allowance = context.allowance(service);
    boolean allowed =
        sends < route.maxAttempts()
            && leftMs >= LEAST_RETRY_MS
            && (!drawsOnBudget || allowance.tryAcquire());
    log.addFailure(
        EventLog.event("endpoint-failed")
            .with("id", id())
            .with("reason", reason)
            .with("leftMs", leftMs)
            .with("again", allowed));
    if (allowed) {
      send();
    } else {
      giveUp(reason);
    }
  }

  /** Called when the endpoint failed the request itself; returns whether another one is tried. */
  boolean retriesFailure(int status) {
    long leftMs = endMs - context.clock().nowMs();
    boolean retries =
        route.kind() == RouteKind.SAFE
            && status >= HttpStatus.SC_INTERNAL_SERVER_ERROR
            && sends < route.maxAttempts()
            && leftMs >= route.targetLatencyMs()
            && context.directory().ready(service).size() > tried.size()
            && context.allowance(service).tryAcquire();
    if (retries) {
      attempt = null;
      mayHaveRun = true;
      send();
    }
    return retries;
  }

  /** Passes on a whole answer. */
  void onWholeAnswer(HttpResponse answer, byte[] content) {
    attempt = null;
    if (answerBegun) {
      // Another head can't follow within an answer that was begun.
      giveUp("resume-failed");
      return;
    }
    finish("answered", answer.getCode());
    client.answer(context.dialect().clientAnswer(answer), content);
  }

  /** Passes on events of a stream; the head goes before the first one. */
  void onEvent(HttpResponse answer, EventSplitter.Event event) {
    beginAnswer(answer);
    long now = context.clock().nowMs();
    longestPauseMs = lastEventMs == 0 ? 0 : Math.max(longestPauseMs, now - lastEventMs);
    lastEventMs = now;
    event.id().ifPresent(id -> lastEvent = Optional.of(id));
    client.part(ByteBuffer.wrap(event.bytes()));
  }

  /** Returns whether an event is one that the client already has. */
  boolean hasEvent(EventSplitter.Event event) {
    if (lastEvent.isEmpty() || event.id().isEmpty()) {
      return false;
    }
    Optional<Long> last = number(lastEvent.get());
    Optional<Long> next = number(event.id().get());
    return last.isPresent() && next.isPresent() && next.get() <= last.get();
  }

  private static Optional<Long> number(String text) {
    return text.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }

  private void beginAnswer(HttpResponse answer) {
    if (!answerBegun) {
      answerBegun = true;
      firstByteMs = context.clock().nowMs() - arrivedMs;
      client.startChunked(context.dialect().clientAnswer(answer));
    }
  }

  void flush() {
    client.flushAnswer();
  }

  /** Ends a stream in order. */
  void onStreamEnd(HttpResponse answer, byte[] rest) {
    attempt = null;
    beginAnswer(answer);
    finish("streamed", answer.getCode());
    client.part(ByteBuffer.wrap(rest));
    client.finishAnswer();
  }

  private void giveUp(String reason) {
    if (answerBegun) {
      finish("cut-" + reason, 0);
      cancelAttempt();
      client.close();
    } else if (mayHaveRun || (attempt != null && attempt.mayHaveRun())) {
      cancelAttempt();
      int status =
          reason.equals("timeout") ? HttpStatus.SC_GATEWAY_TIMEOUT : HttpStatus.SC_BAD_GATEWAY;
      answerOwn(status, reason, Optional.empty());
    } else {
      cancelAttempt();
      refuse(reason, RETRY_AFTER_MS);
    }
  }

  private void refuse(String reason, long retryAfterMs) {
    answerOwn(HttpStatus.SC_SERVICE_UNAVAILABLE, reason, Optional.of(retryAfterMs));
  }

  private void answerOwn(int status, String reason, Optional<Long> retryAfterMs) {
    finish(reason, status);
    byte[] content = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    client.answer(context.dialect().ownAnswer(status, facts.attemptId(), retryAfterMs), content);
  }

  private void finish(String outcome, int status) {
    done = true;
    long tookMs = context.clock().nowMs() - arrivedMs;
    context
        .metrics()
        .onEnded(
            new ForwardMetrics.Ended(
                Optional.ofNullable(route), outcome, status, sends, firstByteMs, tookMs));
    boolean failed =
        status >= HttpStatus.SC_INTERNAL_SERVER_ERROR || (status == 0 && !outcome.equals(LEFT));
    EventLog line =
        EventLog.event("request-ended")
            .with("id", id())
            .with("outcome", outcome)
            .with("status", status)
            .with("route", route == null ? "none" : route.name())
            .with("version", version)
            .with("sends", sends)
            .with("endpoint", endpointId)
            .with("firstByteMs", firstByteMs)
            .with("longestPauseMs", longestPauseMs)
            .with("tookMs", tookMs)
            .with("confirmationAgeMs", context.trust().ageMs());
    if (failed) {
      log.addFailure(line);
    } else {
      log.add(line);
    }
    log.end(id(), !failed && isInTime(tookMs));
  }

  private boolean isInTime(long tookMs) {
    if (route == null) {
      return true;
    }
    long firstMs = firstByteMs >= 0 ? firstByteMs : tookMs;
    boolean pausesAreShort = route.gapTargetMs() == 0 || longestPauseMs <= route.gapTargetMs();
    return firstMs <= route.targetLatencyMs() && pausesAreShort;
  }
}
