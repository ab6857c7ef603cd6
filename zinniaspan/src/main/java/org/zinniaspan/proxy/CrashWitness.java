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

  /** Time for which it is found out whether the path was lost instead, in milliseconds. */
  private static final long MAX_DOUBT_MS = 1_000;

  /** Interval between two probes meanwhile, in milliseconds. */
  private static final long PROBE_INTERVAL_MS = 150;

  private final Clock clock;
  private final PauseDetector pauses;
  private final PromptQuarantine quarantine;
  private final EndpointReachability reachability;
  private final EndpointConnectionPool connections;
  private final Map<String, Doubt> doubts = new HashMap<>();

  /** Requests whose connections to one endpoint were lost, until it is known whether it crashed. */
  private final class Doubt {
    private final ListedEndpoint endpoint;
    private final long sinceMs = clock.nowMs();
    private final List<PromptCrash> lost = new ArrayList<>();
    private boolean probing;
    private long nextProbeMs;

    Doubt(ListedEndpoint endpoint) {
      this.endpoint = endpoint;
    }

    void probe() {
      probing = true;
      connections.probe(endpoint, opened -> onProbed(this, opened));
    }
  }

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

  /** Notes that the process is running, and probes endpoints again; called at each tick. */
  void tick() {
    pauses.observe();
    long now = clock.nowMs();
    List.copyOf(doubts.values()).stream()
        .filter(doubt -> !doubt.probing && now >= doubt.nextProbeMs)
        .forEach(Doubt::probe);
  }

  /**
   * Records a request whose connection was lost before its first event. It counts as a suspect at
   * once, so that the decision whether to send it again takes it into account, and no longer if the
   * endpoint accepts a connection.
   */
  void onRequestLost(ListedEndpoint endpoint, PromptCrash crash) {
    if (pauses.pausedSince(clock.nowMs() - PAUSE_EFFECT_MS)) {
      return;
    }
    if (!reachability.isLost()) {
      quarantine.suspect(crash);
    }
    Doubt doubt = doubts.get(endpoint.id());
    if (doubt == null) {
      doubt = new Doubt(endpoint);
      doubts.put(endpoint.id(), doubt);
      doubt.lost.add(crash);
      doubt.probe();
    } else {
      doubt.lost.add(crash);
    }
  }

  private void onProbed(Doubt doubt, boolean opened) {
    doubt.probing = false;
    if (opened) {
      reachability.onConnected(doubt.endpoint.id());
    } else {
      reachability.onConnectFailed(doubt.endpoint.id());
    }
    boolean pathLost = !opened && reachability.isLost();
    if (pathLost) {
      doubt.lost.forEach(crash -> quarantine.retract(crash.key()));
    }
    // The path also looks lost when several endpoints crash; it is back once any of them answers.
    if (pathLost && clock.nowMs() - doubt.sinceMs < MAX_DOUBT_MS) {
      doubt.nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
      return;
    }
    doubts.remove(doubt.endpoint.id());
    for (PromptCrash crash : doubt.lost) {
      if (opened || pathLost) {
        quarantine.retract(crash.key());
      } else {
        confirm(crash);
      }
    }
  }

  private void confirm(PromptCrash crash) {
    quarantine.suspect(crash);
    quarantine.confirm(crash.key());
    EventLog.event("endpoint-crashed")
        .with("endpoint", crash.endpointId())
        .with("id", crash.attemptId())
        .with("promptParts", RequestEvents.parts(crash.parts()))
        .with("answerBegun", crash.answerBegun())
        .warn();
  }
}
