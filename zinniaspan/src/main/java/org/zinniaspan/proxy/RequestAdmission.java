package org.zinniaspan.proxy;

import java.util.Optional;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.EndpointSelector.Selection;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Refusal;
import org.zinniaspan.forwarding.RouteDecision;

/** Asks admission control about the first send of one request, and tells it the outcome. */
final class RequestAdmission {

  private final ForwardContext context;
  private final ProxiedRequest request;
  private Optional<AdmissionControl.Request> properties = Optional.empty();

  RequestAdmission(ForwardContext context, ProxiedRequest request) {
    this.context = context;
    this.request = request;
  }

  /** Returns why the request is refused; empty if it is admitted, or has no prompt. */
  Optional<Refusal> decide(Selection selection) {
    return request.prompt().isEmpty()
        ? Optional.empty()
        : context.admission().decide(properties(), selection);
  }

  /** Called when the first event of the first send arrives. */
  void onFirstEvent(Selection selection) {
    if (request.prompt().isPresent()) {
      long elapsedMs = context.clock().nowMs() - request.arrivalMs();
      context.admission().onFirstEvent(properties(), selection, elapsedMs);
    }
  }

  /** Returns the properties that decide the admission, as they were when first asked for. */
  private AdmissionControl.Request properties() {
    if (properties.isEmpty()) {
      RouteDecision.Routed routed = request.routed().orElseThrow();
      properties =
          Optional.of(
              new AdmissionControl.Request(
                  routed.rank(),
                  routed.leastUrgent(),
                  routed.toleratesPauses(),
                  routed.route().targetLatencyMs(),
                  request.deadlineMs() - context.clock().nowMs(),
                  routed.organisation().map(OrganisationSpec::name).orElse(""),
                  request.prompt().orElseThrow().tokens(),
                  context
                      .admission()
                      .isReturning(
                          routed.route().name(), request.deadlineMs() - request.arrivalMs())));
    }
    return properties.get();
  }
}
