package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.PromptCrash;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.peer.proto.AnsweredPart;
import org.zinniaspan.peer.proto.CrashedPrompt;
import org.zinniaspan.peer.proto.PromptObservations;

/**
 * Encodes what this VM knows of prompts at crashed endpoints for other VMs, and adds what they
 * know. Messages state ages, as VMs have no common clock. Not thread-safe.
 */
final class PromptObservationExchange {

  private final PromptQuarantine quarantine;
  private final Clock clock;

  PromptObservationExchange(PromptQuarantine quarantine, Clock clock) {
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /** Returns a number that rises with each observation that other VMs may not know. */
  long sequence() {
    return quarantine.sequence();
  }

  /** Returns whether there is something to report since a sequence number; see the report. */
  boolean hasReportSince(long since) {
    return (since == 0 ? quarantine.sequence() : quarantine.ownSequence()) > since;
  }

  /**
   * Returns what this VM itself observed since a sequence number. A receiver that has nothing of
   * this VM yet gets all that it knows, since those who observed it may be gone.
   */
  PromptObservations encodeReport(long since) {
    return encode(quarantine.changesSince(since, since > 0));
  }

  /** Returns what all VMs observed since a sequence number, as far as this one knows. */
  PromptObservations encodeAll(long since) {
    return encode(quarantine.changesSince(since, false));
  }

  private PromptObservations encode(PromptQuarantine.Changes changes) {
    long now = clock.nowMs();
    PromptObservations.Builder observations = PromptObservations.newBuilder();
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
    return observations.build();
  }

  /** Adds what another VM knows. */
  void merge(PromptObservations observations) {
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
  }
}
