package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.ChangeSequence;
import org.zinniaspan.forwarding.EndpointStatement;
import org.zinniaspan.forwarding.PromptCrash;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.forwarding.RejectionLimits;
import org.zinniaspan.forwarding.SendLimits;
import org.zinniaspan.peer.proto.AnsweredPart;
import org.zinniaspan.peer.proto.CrashedPrompt;
import org.zinniaspan.peer.proto.Observations;
import org.zinniaspan.peer.proto.Rejection;
import org.zinniaspan.peer.proto.RejectionLimit;
import org.zinniaspan.peer.proto.RequestLimit;

/**
 * Encodes what this VM knows of prompts at crashed endpoints and of endpoints' limits for other
 * VMs, and adds what they know. Messages state ages, as VMs have no common clock. Not thread-safe.
 */
public final class ObservationExchange {

  private final ChangeSequence sequence;
  private final PromptQuarantine quarantine;
  private final SendLimits limits;
  private final Clock clock;

  /**
   * Creates an exchange.
   *
   * @param sequence numbers the observations of all components
   */
  ObservationExchange(
      ChangeSequence sequence, PromptQuarantine quarantine, SendLimits limits, Clock clock) {
    this.sequence = sequence;
    this.quarantine = quarantine;
    this.limits = limits;
    this.clock = clock;
  }

  /** Returns the number of the last observation that other VMs may not know. */
  long sequence() {
    return sequence.last();
  }

  /** Returns whether there is something to report since a sequence number; see the report. */
  boolean hasReportSince(long since) {
    return (since == 0 ? sequence.last() : sequence.lastOwn()) > since;
  }

  /**
   * Returns what this VM itself observed since a sequence number. A receiver that has nothing of
   * this VM yet gets all that it knows, since those who observed it may be gone.
   */
  Observations encodeReport(long since) {
    return encode(since, since > 0);
  }

  /** Returns what all VMs observed since a sequence number, as far as this one knows. */
  Observations encodeAll(long since) {
    return encode(since, false);
  }

  private Observations encode(long since, boolean ownOnly) {
    long now = clock.nowMs();
    PromptQuarantine.Changes changes = quarantine.changesSince(since, ownOnly);
    Observations.Builder observations = Observations.newBuilder();
    for (PromptCrash crash : changes.crashes()) {
      observations.addCrashed(
          CrashedPrompt.newBuilder()
              .setEndpoint(crash.endpointId())
              .setAttemptId(crash.attemptId())
              .addAllParts(crash.parts())
              .setAnswerBegun(crash.answerBegun())
              .setAgeMs(now - crash.atMs()));
    }
    changes
        .answeredMs()
        .forEach(
            (part, ms) ->
                observations.addAnswered(
                    AnsweredPart.newBuilder().setPart(part).setAgeMs(now - ms)));
    encodeLimits(since, ownOnly, observations);
    return observations.build();
  }

  private void encodeLimits(long since, boolean ownOnly, Observations.Builder observations) {
    long now = clock.nowMs();
    for (EndpointStatement<Optional<Double>> limit :
        limits.requests().changesSince(since, ownOnly)) {
      observations.addLimits(
          RequestLimit.newBuilder()
              .setEndpoint(limit.endpointId())
              .setStartedAtMs(limit.startedAtMs())
              .setPerSecond(limit.value().orElse(0.0))
              .setAgeMs(now - limit.atMs()));
    }
    RejectionLimits rejections = limits.rejections();
    for (EndpointStatement<RejectionLimits.Limit> limit : rejections.limitsSince(since, ownOnly)) {
      RejectionLimit.Builder entry =
          RejectionLimit.newBuilder()
              .setEndpoint(limit.endpointId())
              .setStartedAtMs(limit.startedAtMs())
              .setService(limit.value().service())
              .setAgeMs(now - limit.atMs());
      limit.value().perSecond().ifPresent(entry::setPerSecond);
      observations.addRejectionLimits(entry);
    }
    for (EndpointStatement<Boolean> rejection : rejections.rejectionsSince(since, ownOnly)) {
      observations.addRejections(
          Rejection.newBuilder()
              .setEndpoint(rejection.endpointId())
              .setStartedAtMs(rejection.startedAtMs())
              .setAgeMs(now - rejection.atMs()));
    }
  }

  /** Adds what another VM knows. */
  void merge(Observations observations) {
    long now = clock.nowMs();
    List<PromptCrash> crashes = new ArrayList<>();
    for (CrashedPrompt crashed : observations.getCrashedList()) {
      crashes.add(
          new PromptCrash(
              crashed.getEndpoint(),
              crashed.getAttemptId(),
              crashed.getPartsList(),
              crashed.getAnswerBegun(),
              now - Math.max(0, crashed.getAgeMs())));
    }
    Map<String, Long> answeredMs = new HashMap<>();
    for (AnsweredPart answered : observations.getAnsweredList()) {
      answeredMs.put(answered.getPart(), now - Math.max(0, answered.getAgeMs()));
    }
    quarantine.merge(new PromptQuarantine.Changes(crashes, answeredMs));
    mergeLimits(observations);
  }

  private void mergeLimits(Observations observations) {
    long now = clock.nowMs();
    limits
        .requests()
        .merge(
            observations.getLimitsList().stream()
                .map(
                    limit ->
                        new EndpointStatement<>(
                            limit.getEndpoint(),
                            limit.getStartedAtMs(),
                            Optional.of(limit.getPerSecond()).filter(perSecond -> perSecond > 0),
                            now - Math.max(0, limit.getAgeMs())))
                .toList());
    limits
        .rejections()
        .mergeLimits(
            observations.getRejectionLimitsList().stream()
                .map(
                    limit ->
                        new EndpointStatement<>(
                            limit.getEndpoint(),
                            limit.getStartedAtMs(),
                            new RejectionLimits.Limit(
                                limit.getService(),
                                limit.hasPerSecond()
                                    ? Optional.of(limit.getPerSecond())
                                    : Optional.empty()),
                            now - Math.max(0, limit.getAgeMs())))
                .toList());
    limits
        .rejections()
        .mergeRejections(
            observations.getRejectionsList().stream()
                .map(
                    rejection ->
                        new EndpointStatement<>(
                            rejection.getEndpoint(),
                            rejection.getStartedAtMs(),
                            true,
                            now - Math.max(0, rejection.getAgeMs())))
                .toList());
  }
}
