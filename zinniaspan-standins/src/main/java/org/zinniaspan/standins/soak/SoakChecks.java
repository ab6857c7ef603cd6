package org.zinniaspan.standins.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.EndpointStandIn.Execution;

/**
 * Compares what callers and endpoints saw with what the router promises.
 *
 * <p>Example: {@code List<String> broken = new SoakChecks(calls, runs, revokedMs).broken();}
 */
final class SoakChecks {

  /** Time after which a key that was taken away must not be used, in ms: the daemon's default. */
  static final long KEY_REVOCATION_BOUND_MS = 5_000;

  /** Most endpoints that one attempt may run on: what the routes of the site allow. */
  static final int MAX_ATTEMPTS = 2;

  /** Share of the calls without a fault that have to be served. */
  static final double MIN_SERVED_SHARE = 0.9;

  private final Collection<ObservedCall> calls;
  private final Map<String, List<Execution>> executionsByAttempt;
  private final Map<String, Long> revokedMs;

  /**
   * Creates the checks.
   *
   * @param calls what callers saw
   * @param executions what endpoints ran
   * @param revokedMs when each organisation lost its key for good, in milliseconds since the epoch
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

  /** Returns one line for each broken promise. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (ObservedCall call : calls) {
      List<Execution> executions = executionsByAttempt.getOrDefault(call.attemptId(), List.of());
      checkExecutions(call, executions, violations);
      checkResponse(call, violations);
    }
    return violations;
  }

  private void checkExecutions(
      ObservedCall call, List<Execution> executions, List<String> violations) {
    int maxExecutions = call.path().startsWith("/unsafe/") ? 1 : MAX_ATTEMPTS;
    if (executions.size() > maxExecutions) {
      violations.add(
          violation(call, "ran " + executions.size() + " times; allowed are " + maxExecutions));
    }
    if (call.isReportedNotRun() && !executions.isEmpty()) {
      violations.add(
          violation(call, "was said not to have run, and ran on " + executions.get(0).endpoint()));
    }
    long boundMs =
        revokedMs.getOrDefault(call.organisation(), Long.MAX_VALUE / 2) + KEY_REVOCATION_BOUND_MS;
    if (call.sentMs() > boundMs && !executions.isEmpty()) {
      violations.add(
          violation(call, "ran " + (call.sentMs() - boundMs) + " ms after its key had to end"));
    }
    for (Execution execution : executions) {
      if (!execution.organisation().equals(call.organisation())) {
        violations.add(violation(call, "ran for organisation '" + execution.organisation() + "'"));
      }
    }
  }

  private static void checkResponse(ObservedCall call, List<String> violations) {
    if (!call.isServed()) {
      return;
    }
    String expected =
        call.path().startsWith("/chat/")
            ? EndpointStandIn.responseStream(call.attemptId())
            : EndpointStandIn.responseText(call.attemptId());
    if (!call.body().orElse("").equals(expected)) {
      violations.add(violation(call, "got another body: " + call.body().orElse("")));
    }
  }

  /** Returns a line if too few of the calls were served after all faults had ended. */
  static List<String> recoveryViolations(Collection<ObservedCall> observedCalls) {
    long served = observedCalls.stream().filter(ObservedCall::isServed).count();
    return served >= MIN_SERVED_SHARE * observedCalls.size()
        ? List.of()
        : List.of(
            "recovery: only " + served + " of " + observedCalls.size() + " calls were served");
  }

  /** Returns a line for each version that is older than the one before it. */
  static List<String> versionViolations(String daemon, List<Long> versions) {
    List<String> violations = new ArrayList<>();
    for (int i = 1; i < versions.size(); i++) {
      if (versions.get(i) < versions.get(i - 1)) {
        violations.add(daemon + ": version " + versions.get(i) + " after " + versions.get(i - 1));
      }
    }
    return violations;
  }

  private static String violation(ObservedCall call, String detail) {
    return call.attemptId() + " (" + call.path() + ", answer " + call.status() + "): " + detail;
  }
}
