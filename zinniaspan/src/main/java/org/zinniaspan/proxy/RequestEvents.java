package org.zinniaspan.proxy;

import java.util.List;
import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.forwarding.EndpointSelector.Selection;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteDecision;
import org.zinniaspan.forwarding.StreamResume;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;

/** Creates the log events of forwarded requests. */
final class RequestEvents {

  /** Largest number of a prompt's parts that an event names. */
  private static final int MAX_PARTS = 20;

  private RequestEvents() {}

  /** Returns the first parts of a prompt, and how many there are if these are not all. */
  static String parts(List<String> ids) {
    return ids.size() <= MAX_PARTS
        ? ids.toString()
        : ids.subList(0, MAX_PARTS) + " of " + ids.size();
  }

  /** Returns an event about the selection of an endpoint, with the inputs that decided it. */
  static EventLog selection(
      String event, String id, RouteDecision.Routed routed, Selection selection, long nowMs) {
    TrackedEndpoint endpoint = selection.endpoint();
    return EventLog.event(event)
        .with("id", id)
        .with("route", routed.route().name())
        .with("version", routed.version())
        .with("endpoint", endpoint.listed().id())
        .with("software", endpoint.listed().softwareVersion())
        .with("expectedMs", Math.round(selection.expectedMs()))
        .with("targetMs", routed.route().targetLatencyMs())
        .with("queued", endpoint.reportedQueue())
        .with("occupancyPercent", Math.round(endpoint.occupancy() * 100))
        .with("reportAgeMs", endpoint.hasReport(nowMs) ? endpoint.reportAgeMs(nowMs) : -1);
  }

  /** Returns the event of a request that resumes a stream. */
  static EventLog resume(String id, StreamResume resume) {
    return EventLog.event("stream-resume-requested")
        .with("id", id)
        .with("firstAttempt", resume.firstAttemptId().orElse("none"))
        .with("lastEventId", resume.lastEventId());
  }

  /** Returns the event of a request that another VM relays to this one. */
  static EventLog relayReceived(String id, HttpRequest head) {
    return EventLog.event("relay-received")
        .with("id", id)
        .with("by", RelayHeaders.value(head, RelayHeaders.RELAYED_BY).orElse("none"));
  }

  /** Returns the event of a request that is sent through another VM. */
  static EventLog relay(String id, RouteDecision.Routed routed, String vm) {
    return EventLog.event("relay-chosen")
        .with("id", id)
        .with("route", routed.route().name())
        .with("version", routed.version())
        .with("vm", vm);
  }

  /** Returns the event at the end of a request. */
  static EventLog ended(
      String id, long version, ForwardMetrics.CompletedRequest request, long longestPauseMs) {
    return EventLog.event("request-ended")
        .with("id", id)
        .with("outcome", request.outcome())
        .with("status", request.status())
        .with("route", request.route().map(Route::name).orElse("none"))
        .with("version", version)
        .with("sends", request.sends())
        .with("firstByteMs", request.firstEventMs())
        .with("longestPauseMs", longestPauseMs)
        .with("tookMs", request.durationMs());
  }

  /** Returns whether a request met the latency and pause targets of its route, if it has one. */
  static boolean meetsTargets(ForwardMetrics.CompletedRequest request, long longestPauseMs) {
    if (request.route().isEmpty()) {
      return true;
    }
    Route route = request.route().get();
    long firstMs = request.firstEventMs() >= 0 ? request.firstEventMs() : request.durationMs();
    boolean pausesAreShort = route.pauseTargetMs() == 0 || longestPauseMs <= route.pauseTargetMs();
    return firstMs <= route.targetLatencyMs() && pausesAreShort;
  }
}
