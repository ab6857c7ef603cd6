package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Finds the combinations of prompt parts, or the single requests, that explain why endpoints
 * crashed. The fingerprint of a request counts like a part of its prompt.
 *
 * <p>When an endpoint crashes, several prompts wait there for their answers, and one of them may be
 * the cause. A combination of parts explains the crashes at which a prompt with all of them waited.
 * The combination with the most crashes is taken first, and the crashes that it explains do not
 * count for others. Of combinations with nearly as many, a more specific one is preferred: parts
 * that the same prompts always have in common cannot be told apart, and a prompt with only some of
 * them may be sound.
 *
 * <p>A part that was answered after a crash did not cause that crash. All methods are pure
 * functions.
 */
final class CrashAnalysis {

  /**
   * Time within which crashes of several endpoints have a common cause, as with a rack, so that the
   * prompts that only waited there count once, in milliseconds.
   */
  private static final long SAME_CAUSE_MS = 100;

  /** Time within which VMs notice the crash of one endpoint, in milliseconds. */
  private static final long SAME_ENDPOINT_MS = 1_000;

  /** Weight of a crash at which the answer to a prompt had begun. */
  private static final double BEGUN_WEIGHT = 1;

  /** Weight of a crash at which a prompt only waited, as others did. */
  private static final double WAITING_WEIGHT = 0.5;

  /** Sum of weights from which crashes are explained. */
  private static final double MIN_WEIGHT = 2;

  /**
   * The same for a single request that is sent again and again, which seldom waits at several
   * crashes without being answered in between.
   */
  private static final double MIN_SINGLE_REQUEST_WEIGHT = 1.5;

  /** Sum of weights from which all of several equal explanations are accepted. */
  private static final double MIN_AMBIGUOUS_WEIGHT = 4;

  /** Difference of weights within which a more specific explanation is preferred. */
  private static final double SPECIFIC_MARGIN = 1;

  /**
   * A combination of parts that explains crashes.
   *
   * @param parts ids of the parts
   * @param crashes number of the crashes
   * @param lastMs time of the last of them, in milliseconds
   */
  record Explanation(Set<String> parts, int crashes, long lastMs) {}

  /** A crash of an endpoint, with the prompts that waited there. */
  private static final class Incident {
    private final String endpointId;
    private final long startMs;
    private final List<PromptCrash> observations = new ArrayList<>();

    Incident(PromptCrash first) {
      endpointId = first.endpointId();
      startMs = first.atMs();
    }

    boolean includes(PromptCrash crash) {
      return endpointId.equals(crash.endpointId()) && crash.atMs() - startMs <= SAME_ENDPOINT_MS;
    }
  }

  /**
   * A trait's share in the crashes: the traits that all its requests have in common, and weights.
   */
  private static final class Candidate {
    private final Set<String> common;
    private final Map<Incident, Boolean> answerBegun = new LinkedHashMap<>();

    Candidate(PromptCrash first) {
      common = new LinkedHashSet<>(first.parts());
    }

    void add(Incident incident, PromptCrash crash) {
      common.retainAll(crash.parts());
      answerBegun.merge(incident, crash.answerBegun(), Boolean::logicalOr);
    }

    double weight() {
      double weight = 0;
      long lastWaitingMs = Long.MIN_VALUE / 2;
      // Incidents are added in the order of their times.
      for (Map.Entry<Incident, Boolean> entry : answerBegun.entrySet()) {
        if (entry.getValue()) {
          weight += BEGUN_WEIGHT;
        } else if (isSingleRequest() || entry.getKey().startMs - lastWaitingMs > SAME_CAUSE_MS) {
          weight += WAITING_WEIGHT;
          lastWaitingMs = entry.getKey().startMs;
        }
      }
      return weight;
    }

    /** Returns whether it is one request that was sent again, from one endpoint to the next. */
    boolean isSingleRequest() {
      return common.stream().anyMatch(RequestFingerprint::isFingerprint);
    }

    boolean isEnough() {
      return weight() >= (isSingleRequest() ? MIN_SINGLE_REQUEST_WEIGHT : MIN_WEIGHT);
    }

    boolean isLessSpecificThan(Candidate other) {
      return common.size() < other.common.size() && other.common.containsAll(common);
    }

    Explanation explanation() {
      long lastMs = answerBegun.keySet().stream().mapToLong(i -> i.startMs).max().orElse(0);
      return new Explanation(Set.copyOf(common), answerBegun.size(), lastMs);
    }
  }

  private CrashAnalysis() {}

  /**
   * Returns the explanations of some crashes, the one with the most crashes first.
   *
   * @param answeredMs returns when a part was last answered, in milliseconds
   */
  static List<Explanation> explain(List<PromptCrash> crashes, ToLongFunction<String> answeredMs) {
    List<Incident> incidents = incidents(crashes, answeredMs);
    List<Explanation> explanations = new ArrayList<>();
    List<Candidate> best = best(incidents);
    while (!best.isEmpty()) {
      best.forEach(candidate -> explanations.add(candidate.explanation()));
      best.forEach(candidate -> incidents.removeAll(candidate.answerBegun.keySet()));
      best = best(incidents);
    }
    return explanations;
  }

  private static List<Incident> incidents(
      List<PromptCrash> crashes, ToLongFunction<String> answeredMs) {
    List<PromptCrash> sorted = new ArrayList<>(crashes);
    sorted.sort(
        Comparator.comparingLong(PromptCrash::atMs)
            .thenComparing(PromptCrash::endpointId)
            .thenComparing(PromptCrash::attemptId));
    List<Incident> incidents = new ArrayList<>();
    for (PromptCrash crash : sorted) {
      List<String> unanswered =
          crash.parts().stream()
              .filter(part -> answeredMs.applyAsLong(part) <= crash.atMs())
              .toList();
      Incident incident =
          incidents.stream()
              .filter(known -> known.includes(crash))
              .findFirst()
              .orElseGet(
                  () -> {
                    Incident added = new Incident(crash);
                    incidents.add(added);
                    return added;
                  });
      incident.observations.add(
          new PromptCrash(
              crash.endpointId(),
              crash.attemptId(),
              unanswered,
              crash.answerBegun(),
              crash.atMs()));
    }
    return incidents;
  }

  /** Returns the best candidate; several if they are equal; none if no one explains enough. */
  private static List<Candidate> best(List<Incident> incidents) {
    List<Candidate> enough = candidates(incidents).stream().filter(Candidate::isEnough).toList();
    double most = enough.stream().mapToDouble(Candidate::weight).max().orElse(0);
    List<Candidate> near =
        enough.stream().filter(c -> c.weight() > most - SPECIFIC_MARGIN).toList();
    List<Candidate> specific =
        near.stream().filter(c -> near.stream().noneMatch(c::isLessSpecificThan)).toList();
    double top = specific.stream().mapToDouble(Candidate::weight).max().orElse(0);
    List<Candidate> best = specific.stream().filter(c -> c.weight() == top).toList();
    return best.size() == 1 || top >= MIN_AMBIGUOUS_WEIGHT ? best : List.of();
  }

  /** Returns the candidates with different common parts. */
  private static List<Candidate> candidates(List<Incident> incidents) {
    Map<String, Candidate> byPart = new LinkedHashMap<>();
    for (Incident incident : incidents) {
      for (PromptCrash crash : incident.observations) {
        for (String part : crash.parts()) {
          byPart.computeIfAbsent(part, id -> new Candidate(crash)).add(incident, crash);
        }
      }
    }
    Map<Set<String>, Candidate> byCommonParts = new HashMap<>();
    byPart.values().forEach(c -> byCommonParts.putIfAbsent(new HashSet<>(c.common), c));
    return List.copyOf(byCommonParts.values());
  }
}
