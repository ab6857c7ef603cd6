package org.zinniaspan.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.PromptCrash;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.log.EventLog;

/**
 * Finds out whether an endpoint crashed when connections to it were lost, by opening another one: a
 * crashed endpoint accepts none until it is back, while a single connection is reset for many
 * reasons.
 */
final class CrashWitness {

  /** Gap between two calls that is taken for a pause of this process, in milliseconds. */
  private static final long MAX_CALL_GAP_MS = 500;

  /** Time after a pause in which lost connections show nothing, in milliseconds. */
  private static final long PAUSE_EFFECT_MS = 1_000;

  private final Clock clock;
  private final PauseDetector pauses;
  private final PromptQuarantine quarantine;
  private final EndpointReachability reachability;
  private final EndpointConnectionPool connections;
  private final Map<String, List<PromptCrash>> pendingByEndpoint = new HashMap<>();

  CrashWitness(
      Clock clock,
      PromptQuarantine quarantine,
      EndpointReachability reachability,
      EndpointConnectionPool connections) {
    this.clock = clock;
    this.pauses = new PauseDetector(clock, MAX_CALL_GAP_MS);
    this.quarantine = quarantine;
    this.reachability = reachability;
    this.connections = connections;
  }

  /** Notes that the process is running; called at each tick. */
  void tick() {
    pauses.observe();
  }

  /**
   * Records a prompt whose connection was lost before its first event. It counts as a suspect at
   * once, so that the decision whether to send it again takes it into account, and no longer if the
   * endpoint accepts a connection.
   */
  void onPromptLost(ListedEndpoint endpoint, PromptCrash crash) {
    if (reachability.isLost() || pauses.pausedSince(clock.nowMs() - PAUSE_EFFECT_MS)) {
      return;
    }
    quarantine.suspect(crash);
    List<PromptCrash> pending = pendingByEndpoint.get(endpoint.id());
    if (pending != null) {
      pending.add(crash);
      return;
    }
    pendingByEndpoint.put(endpoint.id(), new ArrayList<>(List.of(crash)));
    connections.probe(endpoint, opened -> onProbed(endpoint, opened));
  }

  private void onProbed(ListedEndpoint endpoint, boolean opened) {
    if (opened) {
      reachability.onConnected(endpoint.id());
    } else {
      reachability.onConnectFailed(endpoint.id());
    }
    // If the path was lost meanwhile, the failed connection shows nothing of the endpoint.
    boolean crashed = !opened && !reachability.isLost();
    for (PromptCrash crash : pendingByEndpoint.remove(endpoint.id())) {
      if (crashed) {
        quarantine.confirm(crash.key());
        EventLog.event("endpoint-crashed")
            .with("endpoint", crash.endpointId())
            .with("id", crash.attemptId())
            .with("promptParts", crash.parts())
            .with("answerBegun", crash.answerBegun())
            .warn();
      } else {
        quarantine.retract(crash.key());
      }
    }
  }
}
