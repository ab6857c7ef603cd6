package org.zinniaspan.standins.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.EndpointStandIn.Execution;
import org.zinniaspan.standins.soak.ObservedCall.Event;

/**
 * Checks the observations of clients and endpoints against the guarantees of the router.
 *
 * <p>Example: {@code List<String> violations = new SoakChecks(calls, executions,
 * revokedMs).violations();}
 */
final class SoakChecks {

  /**
   * Time after its revocation from which a key must not be accepted; equals the daemon's default.
   */
  static final long KEY_REVOCATION_BOUND_MS = 5_000;

  /** Highest number of executions of one client attempt that the routes of the site allow. */
  static final int MAX_ATTEMPTS = 2;

  /** Least share of the calls that have to be served once all faults have ended. */
  static final double MIN_SERVED_SHARE = 0.9;

  private final Collection<ObservedCall> calls;
  private final Map<String, List<Execution>> executionsByAttempt;
  private final Map<String, Long> revokedMs;

  /**
   * Creates the checks.
   *
   * @param calls calls observed by clients
   * @param executions executions recorded by endpoints
   * @param revokedMs time at which the key of each organisation was revoked, in milliseconds since
   *     the epoch
   */
  SoakChecks(
      Collection<ObservedCall> calls,
      Collection<Execution> executions,
      Map<String, Long> revokedMs) {
    this.calls = calls;
    this.executionsByAttempt =
        executions.stream().collect(Collectors.groupingBy(Execution::attemptId));
    this.revokedMs = revokedMs;
  }

  /** Returns one line for each violated guarantee. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (ObservedCall call : calls) {
      List<Execution> executions = executionsByAttempt.getOrDefault(call.attemptId(), List.of());
      checkExecutions(call, executions, violations);
      checkResponse(call, violations);
    }
    calls.stream()
        .filter(call -> call.path().startsWith("/chat/"))
        .collect(Collectors.groupingBy(ObservedCall::firstAttemptId))
        .values()
        .stream()
        .filter(parts -> parts.size() > 1 || !parts.get(0).isServed())
        .forEach(parts -> checkStream(parts, violations));
    return violations;
  }

  /** Checks what a client received of one stream, over all attempts in the order of their start. */
  private static void checkStream(List<ObservedCall> parts, List<String> violations) {
    List<Event> events =
        parts.stream()
            .sorted(Comparator.comparingLong(ObservedCall::sentMs))
            .flatMap(call -> call.events().stream())
            .toList();
    Set<String> versions = events.stream().map(Event::software).collect(Collectors.toSet());
    if (versions.size() > 1) {
      violations.add(violation(parts.get(0), "holds events of the versions " + versions));
    }
    for (int i = 0; i < events.size(); i++) {
      if (events.get(i).number() != i + 1) {
        violations.add(violation(parts.get(0), "holds the events " + events));
        return;
      }
    }
  }

  private void checkExecutions(
      ObservedCall call, List<Execution> executions, List<String> violations) {
    int maxExecutions = call.path().startsWith("/unsafe/") ? 1 : MAX_ATTEMPTS;
    if (executions.size() > maxExecutions) {
      violations.add(
          violation(
              call,
              "was executed " + executions.size() + " times; allowed at most " + maxExecutions));
    }
    if (call.isReportedNotRun() && !executions.isEmpty()) {
      violations.add(
          violation(
              call, "was reported as not run but was executed by " + executions.get(0).endpoint()));
    }
    long boundMs =
        revokedMs.getOrDefault(call.organisation(), Long.MAX_VALUE / 2) + KEY_REVOCATION_BOUND_MS;
    if (call.sentMs() > boundMs && !executions.isEmpty()) {
      violations.add(
          violation(
              call,
              "was executed "
                  + (call.sentMs() - boundMs)
                  + " ms after the revocation bound of its key"));
    }
    for (Execution execution : executions) {
      if (!execution.organisation().equals(call.organisation())) {
        violations.add(
            violation(call, "was executed for organisation '" + execution.organisation() + "'"));
      }
    }
  }

  private static void checkResponse(ObservedCall call, List<String> violations) {
    if (!call.isServed()) {
      return;
    }
    boolean expected =
        call.path().startsWith("/chat/")
            ? isStream(call)
            : call.received().equals(EndpointStandIn.responseText(call.attemptId()));
    if (!expected) {
      violations.add(violation(call, "received an unexpected body: " + call.received()));
    }
  }

  /** Returns whether a complete response is the stream of one version, or its end if resumed. */
  private static boolean isStream(ObservedCall call) {
    return call.events().stream()
        .map(event -> EndpointStandIn.responseStream(call.attemptId(), event.software()))
        .anyMatch(
            stream ->
                call.isResume()
                    ? stream.endsWith(call.received())
                    : stream.equals(call.received()));
  }

  /** Returns a line if too few of the calls made after the end of all faults were served. */
  static List<String> recoveryViolations(Collection<ObservedCall> observedCalls) {
    long served = observedCalls.stream().filter(ObservedCall::isServed).count();
    return served >= MIN_SERVED_SHARE * observedCalls.size()
        ? List.of()
        : List.of(
            "recovery: only " + served + " of " + observedCalls.size() + " calls were served");
  }

  /** Returns a line for each configuration version that is older than its predecessor. */
  static List<String> versionViolations(String daemon, List<Long> versions) {
    List<String> violations = new ArrayList<>();
    for (int i = 1; i < versions.size(); i++) {
      if (versions.get(i) < versions.get(i - 1)) {
        violations.add(
            daemon
                + ": configuration version "
                + versions.get(i)
                + " follows version "
                + versions.get(i - 1));
      }
    }
    return violations;
  }

  private static String violation(ObservedCall call, String detail) {
    return call.attemptId() + " (" + call.path() + ", status " + call.status() + "): " + detail;
  }
}
