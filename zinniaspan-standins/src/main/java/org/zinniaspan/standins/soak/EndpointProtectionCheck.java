package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/**
 * Checks, once all faults have ended, that daemons spare endpoints which prompts crash, and those
 * that state a request limit.
 */
final class EndpointProtectionCheck {

  /** Id of a prompt part that no daemon knows yet. */
  private static final String CRASHING_PART = "dead-at-last";

  private static final String KEY = "key-1";

  /** Number of crashes after which few more are allowed. */
  private static final int ALLOWED_CRASHES = 5;

  /** Time after these, or after the first statement of a limit, from which requests count. */
  private static final long CONTACT_MS = 3_000;

  /** Number of crashes that are allowed from then on. */
  private static final int ALLOWED_LATE_CRASHES = 3;

  private static final long ENDPOINT_DOWN_MS = 1_500;
  private static final double REQUESTS_PER_SECOND = 2;
  private static final long WINDOW_MS = 4_000;

  /** Number of requests that may arrive in a window. */
  private static final int ALLOWED_REQUESTS =
      (int) (1.5 * REQUESTS_PER_SECOND * WINDOW_MS / 1_000) + 5;

  private static final long DURATION_MS = 7_500;

  private final LocalSite site;
  private final List<SoakDaemon> daemons;
  private final SiteClient client = new SiteClient("protection", KEY);
  private int promptCount;

  EndpointProtectionCheck(LocalSite site, List<SoakDaemon> daemons) {
    this.site = site;
    this.daemons = daemons;
  }

  /** Returns one line for each violated guarantee. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    checkCrashes(violations);
    checkRequestLimit(violations);
    return violations;
  }

  private int crashes() {
    return site.endpoints().values().stream().mapToInt(EndpointStandIn::crashes).sum();
  }

  private void setCrashingPart(Optional<String> part) {
    site.endpoints().values().forEach(e -> e.setCrashingPart(part, ENDPOINT_DOWN_MS));
  }

  private void checkCrashes(List<String> violations) {
    setCrashingPart(Optional.of(CRASHING_PART));
    List<Long> crashedMs = new ArrayList<>();
    int late = 0;
    long endMs = System.currentTimeMillis() + DURATION_MS;
    for (int round = 0; System.currentTimeMillis() < endMs; round++) {
      long sentMs = System.currentTimeMillis();
      int before = crashes();
      call(round, "common:100," + CRASHING_PART + ":50,");
      int caused = crashes() - before;
      boolean counts =
          crashedMs.size() >= ALLOWED_CRASHES
              && sentMs > crashedMs.get(ALLOWED_CRASHES - 1) + CONTACT_MS;
      late += counts ? caused : 0;
      crashedMs.addAll(Collections.nCopies(caused, System.currentTimeMillis()));
      call(round, "common:100,");
    }
    setCrashingPart(Optional.empty());
    if (late > ALLOWED_LATE_CRASHES) {
      violations.add(
          "prompts with one part crashed endpoints "
              + late
              + " times more, later than "
              + CONTACT_MS
              + " ms after the fifth of "
              + crashedMs.size()
              + " crashes; allowed at most "
              + ALLOWED_LATE_CRASHES);
    }
  }

  private void checkRequestLimit(List<String> violations) {
    EndpointStandIn endpoint = site.endpoints().values().iterator().next();
    endpoint.setRequestLimit(Optional.of(REQUESTS_PER_SECOND));
    long startMs = System.currentTimeMillis();
    long endMs = startMs + DURATION_MS;
    for (int round = 0; System.currentTimeMillis() < endMs; round++) {
      call(round, "common:100,");
    }
    endpoint.setRequestLimit(Optional.empty());
    int most = endpoint.mostArrivals(WINDOW_MS, startMs + CONTACT_MS);
    if (most > ALLOWED_REQUESTS) {
      violations.add(
          "endpoint "
              + endpoint.id()
              + " with a limit of "
              + REQUESTS_PER_SECOND
              + " requests a second got "
              + most
              + " in "
              + WINDOW_MS
              + " ms; allowed at most "
              + ALLOWED_REQUESTS);
    }
  }

  /** Sends a prompt with some shared parts; whether it is served is checked elsewhere. */
  private void call(int round, String sharedParts) {
    promptCount++;
    try {
      client.call(
          daemons.get(round % daemons.size()).callerAddress(),
          "POST",
          "/chat/x",
          "X-Zinniaspan-Token-Usage: 320,30\r\nX-Zinniaspan-Prefix-Hash: "
              + sharedParts
              + "own"
              + promptCount
              + ":20\r\n");
    } catch (IOException e) {
      // The daemon is starting again; the next call goes to another one.
    }
  }
}
