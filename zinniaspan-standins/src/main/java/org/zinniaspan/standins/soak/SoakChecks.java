package org.zinniaspan.standins.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.EndpointStandIn.Run;

/**
 * Compares what callers and endpoints saw with what the router promises.
 *
 * <p>Example: {@code List<String> broken = new SoakChecks(calls, runs, revokedMs).broken();}
 */
final class SoakChecks {

  /** Time after which a key that was taken away must not be used, in ms: the daemon's default. */
  static final long REVOKE_MS = 5_000;

  /** Most endpoints that one attempt may run on: what the routes of the site allow. */
  static final int MOST_ATTEMPTS = 2;

  /** Share of the calls without a fault that have to be served. */
  static final double RECOVERED_SHARE = 0.9;

  private final Collection<Call> calls;
  private final Map<String, List<Run>> runs;
  private final Map<String, Long> revokedMs;

  /**
   * Creates the checks.
   *
   * @param calls what callers saw
   * @param runs what endpoints ran
   * @param revokedMs when each organisation lost its key for good, in milliseconds since the epoch
   */
  SoakChecks(Collection<Call> calls, Collection<Run> runs, Map<String, Long> revokedMs) {
    this.calls = calls;
    this.runs = runs.stream().collect(Collectors.groupingBy(Run::attemptId));
    this.revokedMs = revokedMs;
  }

  /** Returns one line for each broken promise. */
  List<String> broken() {
    List<String> broken = new ArrayList<>();
    for (Call call : calls) {
      List<Run> ran = runs.getOrDefault(call.attemptId(), List.of());
      checkRuns(call, ran, broken);
      checkAnswer(call, broken);
    }
    return broken;
  }

  private void checkRuns(Call call, List<Run> ran, List<String> broken) {
    int most = call.path().startsWith("/unsafe/") ? 1 : MOST_ATTEMPTS;
    if (ran.size() > most) {
      broken.add(line(call, "ran " + ran.size() + " times; allowed are " + most));
    }
    if (call.saysNotRun() && !ran.isEmpty()) {
      broken.add(line(call, "was said not to have run, and ran on " + ran.get(0).endpoint()));
    }
    long endMs = revokedMs.getOrDefault(call.organisation(), Long.MAX_VALUE / 2) + REVOKE_MS;
    if (call.sentMs() > endMs && !ran.isEmpty()) {
      broken.add(line(call, "ran " + (call.sentMs() - endMs) + " ms after its key had to end"));
    }
    for (Run run : ran) {
      if (!run.organisation().equals(call.organisation())) {
        broken.add(line(call, "ran for organisation '" + run.organisation() + "'"));
      }
    }
  }

  private static void checkAnswer(Call call, List<String> broken) {
    if (!call.isServed()) {
      return;
    }
    String expected =
        call.path().startsWith("/chat/")
            ? EndpointStandIn.stream(call.attemptId())
            : EndpointStandIn.text(call.attemptId());
    if (!call.body().orElse("").equals(expected)) {
      broken.add(line(call, "got another body: " + call.body().orElse("")));
    }
  }

  /** Returns a line if too few of the calls were served after all faults had ended. */
  static List<String> recovery(Collection<Call> after) {
    long served = after.stream().filter(Call::isServed).count();
    return served >= RECOVERED_SHARE * after.size()
        ? List.of()
        : List.of("recovery: only " + served + " of " + after.size() + " calls were served");
  }

  /** Returns a line for each version that is older than the one before it. */
  static List<String> versions(String daemon, List<Long> seen) {
    List<String> broken = new ArrayList<>();
    for (int i = 1; i < seen.size(); i++) {
      if (seen.get(i) < seen.get(i - 1)) {
        broken.add(daemon + ": version " + seen.get(i) + " after " + seen.get(i - 1));
      }
    }
    return broken;
  }

  private static String line(Call call, String what) {
    return call.attemptId() + " (" + call.path() + ", answer " + call.status() + "): " + what;
  }
}
