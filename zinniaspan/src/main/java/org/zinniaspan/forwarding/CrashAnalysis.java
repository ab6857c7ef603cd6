package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

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

  /** A crash of an endpoint. */
  private static final class Incident {
    private final String endpointId;
    private final long startMs;

    Incident(PromptCrash first) {
      endpointId = first.endpointId();
      startMs = first.atMs();
    }

    boolean includes(PromptCrash crash) {
      return endpointId.equals(crash.endpointId()) && crash.atMs() - startMs <= SAME_ENDPOINT_MS;
    }
  }

  /**
   * A prompt that waited at a crash.
   *
   * @param traits its traits that were not answered since
   */
  private record Observation(Incident incident, List<String> traits, boolean answerBegun) {}

  /**
   * Traits that waited at the same observations so far, which cannot be told apart.
   *
   * @param parent the traits that waited at the same observations before the last one
   * @param last index of the last observation; -1 for traits that waited at none
   */
  private record Group(Optional<Group> parent, int last) {

    BitSet observations() {
      BitSet indexes = new BitSet();
      for (Group group = this; group.last >= 0; group = group.parent.orElseThrow()) {
        indexes.set(group.last);
      }
      return indexes;
    }
  }

  /** The share in the crashes of traits that waited at the same observations. */
  private static final class Candidate {
    private final List<Observation> all;
    private final BitSet indexes;
    private final Map<Incident, Boolean> answerBegun = new LinkedHashMap<>();
    private final boolean singleRequest;

    Candidate(List<Observation> all, BitSet indexes) {
      this.all = all;
      this.indexes = indexes;
      observations().forEach(o -> answerBegun.merge(o.incident, o.answerBegun, Boolean::logicalOr));
      singleRequest =
          answerBegun.size() > 1
              && !common(o -> o.traits.stream().filter(RequestFingerprint::isFingerprint).toList())
                  .isEmpty();
    }

    private Stream<Observation> observations() {
      // Indexes ascend, so that the incidents come in the order of their times.
      return indexes.stream().mapToObj(all::get);
    }

    /** Returns those of the observations' traits that all of them have in common. */
    private Set<String> common(Function<Observation, List<String>> traits) {
      Iterator<Observation> iterator = observations().iterator();
      Set<String> common = new LinkedHashSet<>(traits.apply(iterator.next()));
      while (iterator.hasNext() && !common.isEmpty()) {
        common.retainAll(new HashSet<>(traits.apply(iterator.next())));
      }
      return common;
    }

    double weight() {
      double weight = 0;
      long lastWaitingMs = Long.MIN_VALUE / 2;
      for (Map.Entry<Incident, Boolean> entry : answerBegun.entrySet()) {
        if (entry.getValue()) {
          weight += BEGUN_WEIGHT;
        } else if (singleRequest || entry.getKey().startMs - lastWaitingMs > SAME_CAUSE_MS) {
          weight += WAITING_WEIGHT;
          lastWaitingMs = entry.getKey().startMs;
        }
      }
      return weight;
    }

    boolean isEnough() {
      return weight() >= (singleRequest ? MIN_SINGLE_REQUEST_WEIGHT : MIN_WEIGHT);
    }

    /** Returns whether the other's traits include these, as they waited at fewer observations. */
    boolean isLessSpecificThan(Candidate other) {
      BitSet otherOnly = (BitSet) other.indexes.clone();
      otherOnly.andNot(indexes);
      return otherOnly.isEmpty() && !indexes.equals(other.indexes);
    }

    /** Returns what is left of the observations without some incidents. */
    BitSet indexesWithout(Set<Incident> incidents) {
      BitSet left = (BitSet) indexes.clone();
      indexes.stream().filter(i -> incidents.contains(all.get(i).incident)).forEach(left::clear);
      return left;
    }

    Explanation explanation() {
      long lastMs = answerBegun.keySet().stream().mapToLong(i -> i.startMs).max().orElse(0);
      return new Explanation(Set.copyOf(common(Observation::traits)), answerBegun.size(), lastMs);
    }
  }

  private CrashAnalysis() {}

  /**
   * Returns the explanations of some crashes, the one with the most crashes first.
   *
   * <p>Takes time in proportion to the number of all traits, as traits that waited at the same
   * crashes count as one.
   *
   * @param answeredMs returns when a part was last answered, in milliseconds
   */
  static List<Explanation> explain(List<PromptCrash> crashes, ToLongFunction<String> answeredMs) {
    List<Observation> observations = observations(crashes, answeredMs);
    List<Candidate> candidates =
        candidates(observations, groups(observations).stream().map(Group::observations));
    List<Explanation> explanations = new ArrayList<>();
    List<Candidate> best = best(candidates);
    while (!best.isEmpty()) {
      Set<Incident> explained = new HashSet<>();
      for (Candidate candidate : best) {
        explanations.add(candidate.explanation());
        explained.addAll(candidate.answerBegun.keySet());
      }
      candidates =
          candidates(observations, candidates.stream().map(c -> c.indexesWithout(explained)));
      best = best(candidates);
    }
    return explanations;
  }

  /** Returns the observations in the order of their incidents. */
  private static List<Observation> observations(
      List<PromptCrash> crashes, ToLongFunction<String> answeredMs) {
    List<PromptCrash> sorted = new ArrayList<>(crashes);
    sorted.sort(
        Comparator.comparingLong(PromptCrash::atMs)
            .thenComparing(PromptCrash::endpointId)
            .thenComparing(PromptCrash::attemptId));
    Map<Incident, List<Observation>> byIncident = new LinkedHashMap<>();
    for (PromptCrash crash : sorted) {
      List<String> unanswered =
          crash.parts().stream()
              .filter(part -> answeredMs.applyAsLong(part) <= crash.atMs())
              .toList();
      Incident incident =
          byIncident.keySet().stream()
              .filter(known -> known.includes(crash))
              .findFirst()
              .orElseGet(() -> new Incident(crash));
      byIncident
          .computeIfAbsent(incident, added -> new ArrayList<>())
          .add(new Observation(incident, unanswered, crash.answerBegun()));
    }
    return byIncident.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the groups of all traits by the observations at which they waited. */
  private static Set<Group> groups(List<Observation> observations) {
    Group none = new Group(Optional.empty(), -1);
    Map<String, Group> groups = new HashMap<>();
    for (int i = 0; i < observations.size(); i++) {
      Map<Group, Group> next = new IdentityHashMap<>();
      for (String trait : observations.get(i).traits) {
        Group before = groups.getOrDefault(trait, none);
        if (before.last < i) {
          int last = i;
          groups.put(trait, next.computeIfAbsent(before, b -> new Group(Optional.of(b), last)));
        }
      }
    }
    Set<Group> used = Collections.newSetFromMap(new IdentityHashMap<>());
    used.addAll(groups.values());
    return used;
  }

  /** Returns a candidate for each set of observations with several crashes. */
  private static List<Candidate> candidates(
      List<Observation> observations, Stream<BitSet> indexes) {
    return indexes
        .distinct()
        .filter(set -> set.cardinality() > 1)
        .map(set -> new Candidate(observations, set))
        .filter(candidate -> candidate.answerBegun.size() > 1)
        .toList();
  }

  /** Returns the best candidate; several if they are equal; none if no one explains enough. */
  private static List<Candidate> best(List<Candidate> candidates) {
    List<Candidate> enough = candidates.stream().filter(Candidate::isEnough).toList();
    double most = enough.stream().mapToDouble(Candidate::weight).max().orElse(0);
    List<Candidate> near =
        enough.stream().filter(c -> c.weight() > most - SPECIFIC_MARGIN).toList();
    List<Candidate> specific =
        near.stream().filter(c -> near.stream().noneMatch(c::isLessSpecificThan)).toList();
    double top = specific.stream().mapToDouble(Candidate::weight).max().orElse(0);
    List<Candidate> best = specific.stream().filter(c -> c.weight() == top).toList();
    return best.size() == 1 || top >= MIN_AMBIGUOUS_WEIGHT ? best : List.of();
  }
}
