package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Decides which requests are not sent to endpoints, as the same request, or prompts with the same
 * parts, crashed some.
 *
 * <p>A request has traits: the parts of its prompt, if it has one, and its fingerprint. It collects
 * the requests that waited at endpoints that crashed, and the parts that were answered since, as
 * this VM and others observed them. Both are only ever added, so that VMs agree once they have
 * exchanged them, in any order. A quarantine ends some time after the last crash; the time doubles
 * with each crash, so that a part that is still harmful crashes few endpoints when it is tried
 * again. Not thread-safe.
 *
 * <p>Example: {@code quarantine.suspect(crash); ... quarantine.confirm(crash.key());}
 */
public final class PromptQuarantine implements Ticking {

  /**
   * Time for which two crashes quarantine a prompt, in milliseconds; each further one doubles it.
   */
  static final long MIN_QUARANTINE_MS = 60_000;

  /** Longest time for which a prompt is quarantined after the last crash, in milliseconds. */
  static final long MAX_QUARANTINE_MS = 1_800_000;

  /** Time for which crashes are remembered, in milliseconds. */
  static final long CRASH_MEMORY_MS = 3_600_000;

  /** Largest number of crashes that are remembered. */
  private static final int MAX_CRASHES = 256;

  /** Largest sum of the traits of the crashes that are remembered, and of those suspected. */
  private static final int MAX_TRAITS = 60_000;

  /** Sum of the traits of all crashes up to which each change is analysed at once. */
  private static final int MAX_TRAITS_ANALYSED_AT_ONCE = 5_000;

  /** Interval at which changes are analysed if the crashes have more traits, in milliseconds. */
  private static final long ANALYSIS_INTERVAL_MS = 100;

  /** Largest number of parts whose last answer is remembered. */
  private static final int MAX_ANSWERED_PARTS = 4_000;

  /** Correction of the time of a crash that other VMs are told, in milliseconds. */
  private static final long MIN_TIME_CORRECTION_MS = 20;

  /** Number of crashes that are enough to quarantine a prompt. */
  private static final int MIN_CRASHES = 2;

  /** Interval at which outdated crashes are removed, in milliseconds. */
  private static final long EXPIRY_INTERVAL_MS = 1_000;

  /**
   * Prompts that are not sent.
   *
   * @param parts the traits that a request must have to be concerned
   * @param crashes number of crashes that they explain
   * @param untilMs time until which they are not sent, in milliseconds
   */
  public record Quarantine(Set<String> parts, int crashes, long untilMs) {}

  /** An observation and whether and when it was learned, for other VMs. */
  private record Observed<T>(T value, boolean own, long sequence) {}

  /**
   * Observations that a VM may not know yet.
   *
   * @param crashes confirmed crashes
   * @param answeredMs times at which parts were answered after crashes, in milliseconds
   */
  public record Changes(List<PromptCrash> crashes, Map<String, Long> answeredMs) {

    /** Returns whether there are none. */
    public boolean isEmpty() {
      return crashes.isEmpty() && answeredMs.isEmpty();
    }
  }

  private final Clock clock;
  private final ChangeSequence sequence;
  private final Map<PromptCrash.Key, PromptCrash> unconfirmed = new HashMap<>();
  private final Map<PromptCrash.Key, Observed<PromptCrash>> confirmed = new HashMap<>();
  private final Map<String, List<PromptCrash>> confirmedByTrait = new HashMap<>();
  private final Map<String, Observed<Long>> answeredMs =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Observed<Long>> eldest) {
          return size() > MAX_ANSWERED_PARTS;
        }
      };
  private List<Quarantine> quarantines = List.of();
  private long nextExpiryMs;
  private long nextAnalysisMs = Long.MIN_VALUE;
  private int unconfirmedTraits;
  private int confirmedTraits;
  private boolean changed;

  /**
   * Creates a state without crashes.
   *
   * @param sequence numbers the observations that other VMs have to know
   */
  public PromptQuarantine(Clock clock, ChangeSequence sequence) {
    this.clock = clock;
    this.sequence = sequence;
  }

  /** Records that a request waited at an endpoint whose connection was lost. */
  public void suspect(PromptCrash crash) {
    if (confirmed.containsKey(crash.key())
        || unconfirmedTraits + crash.parts().size() > MAX_TRAITS) {
      return;
    }
    takeUnconfirmed(crash.key());
    unconfirmed.put(crash.key(), crash);
    unconfirmedTraits += crash.parts().size();
    changed = true;
  }

  private Optional<PromptCrash> takeUnconfirmed(PromptCrash.Key key) {
    Optional<PromptCrash> crash = Optional.ofNullable(unconfirmed.remove(key));
    crash.ifPresent(taken -> unconfirmedTraits -= taken.parts().size());
    return crash;
  }

  /** Records that the endpoint of a suspected prompt has crashed. */
  public void confirm(PromptCrash.Key key) {
    takeUnconfirmed(key).ifPresent(crash -> add(crash, true));
  }

  /** Records that the endpoint of a suspected prompt has not crashed. */
  public void retract(PromptCrash.Key key) {
    changed |= takeUnconfirmed(key).isPresent();
  }

  /**
   * Records that a request was answered, so that its traits caused none of the crashes before.
   *
   * @param traits ids of the parts of its prompt, and its fingerprint
   */
  public void onAnswered(Collection<String> traits) {
    long now = clock.nowMs();
    traits.forEach(trait -> putAnswered(trait, now, true));
  }

  /** Adds what other VMs observed. */
  public void merge(Changes changes) {
    changes.crashes().forEach(crash -> add(crash, false));
    changes.answeredMs().forEach((part, ms) -> putAnswered(part, ms, false));
  }

  private void add(PromptCrash crash, boolean own) {
    Observed<PromptCrash> known = confirmed.get(crash.key());
    if (clock.nowMs() - crash.atMs() > CRASH_MEMORY_MS
        || (known != null && known.value().atMs() <= crash.atMs())) {
      return;
    }
    changed = true;
    boolean isOwn = own || (known != null && known.own());
    // Times that passed through other VMs are late; the earliest one is the best.
    boolean isNews = known == null || known.value().atMs() - crash.atMs() >= MIN_TIME_CORRECTION_MS;
    long announced = isNews ? sequence.next(own) : known.sequence();
    forget(crash.key());
    confirmed.put(crash.key(), new Observed<>(crash, isOwn, announced));
    confirmedTraits += crash.parts().size();
    for (String trait : crash.parts()) {
      confirmedByTrait.computeIfAbsent(trait, added -> new ArrayList<>(1)).add(crash);
    }
    if (known == null) {
      crash.parts().forEach(part -> announceAnswer(part, crash));
    }
    while (confirmed.size() > MAX_CRASHES
        || (confirmedTraits > MAX_TRAITS && confirmed.size() > 1)) {
      confirmed.values().stream()
          .map(Observed::value)
          .min(Comparator.comparing(PromptCrash::answerBegun).thenComparing(PromptCrash::atMs))
          .ifPresent(least -> forget(least.key()));
    }
  }

  private void forget(PromptCrash.Key key) {
    Observed<PromptCrash> forgotten = confirmed.remove(key);
    if (forgotten == null) {
      return;
    }
    PromptCrash crash = forgotten.value();
    confirmedTraits -= crash.parts().size();
    for (String trait : crash.parts()) {
      confirmedByTrait.computeIfPresent(
          trait,
          (name, crashes) -> {
            crashes.removeIf(known -> known == crash);
            return crashes.isEmpty() ? null : crashes;
          });
    }
  }

  /** Announces to other VMs that a part was answered after a crash that has just become known. */
  private void announceAnswer(String part, PromptCrash crash) {
    Observed<Long> answer = answeredMs.get(part);
    if (answer != null && answer.value() > crash.atMs()) {
      answeredMs.put(
          part, new Observed<>(answer.value(), answer.own(), sequence.next(answer.own())));
    }
  }

  private void putAnswered(String part, long ms, boolean own) {
    Observed<Long> known = answeredMs.get(part);
    long previousMs = known == null ? Long.MIN_VALUE : known.value();
    if (ms <= previousMs) {
      return;
    }
    boolean acquits = isAcquitted(part, previousMs, ms);
    long announced = acquits ? sequence.next(own) : known == null ? 0 : known.sequence();
    answeredMs.put(part, new Observed<>(ms, own, announced));
    changed |= acquits;
  }

  /** Returns whether a part waited at a crash in some span of time. */
  private boolean isAcquitted(String part, long afterMs, long untilMs) {
    return confirmedByTrait.getOrDefault(part, List.of()).stream()
        .anyMatch(crash -> crash.atMs() >= afterMs && crash.atMs() < untilMs);
  }

  /**
   * Returns the quarantine that keeps a request from being sent, if there is one.
   *
   * @param traits supplies the ids of the parts of its prompt, and its fingerprint; called only
   *     while there is a quarantine
   */
  public Optional<Quarantine> find(Supplier<Set<String>> traits) {
    update();
    if (quarantines.isEmpty()) {
      return Optional.empty();
    }
    Set<String> parts = traits.get();
    long now = clock.nowMs();
    return quarantines.stream()
        .filter(q -> q.untilMs() > now && parts.containsAll(q.parts()))
        .max(Comparator.comparingLong(Quarantine::untilMs));
  }

  /** Returns the number of quarantines in force. */
  public int size() {
    update();
    return quarantines.size();
  }

  /**
   * Returns the observations since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  public Changes changesSince(long since, boolean ownOnly) {
    List<PromptCrash> crashes = new ArrayList<>();
    confirmed.values().stream()
        .filter(crash -> crash.sequence() > since && (crash.own() || !ownOnly))
        .forEach(crash -> crashes.add(crash.value()));
    Map<String, Long> answers = new HashMap<>();
    answeredMs.forEach(
        (part, answer) -> {
          if (answer.sequence() > since && (answer.own() || !ownOnly)) {
            answers.put(part, answer.value());
          }
        });
    return new Changes(crashes, answers);
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    if (now >= nextExpiryMs) {
      nextExpiryMs = now + EXPIRY_INTERVAL_MS;
      List<PromptCrash> outdated =
          confirmed.values().stream()
              .map(Observed::value)
              .filter(crash -> now - crash.atMs() > CRASH_MEMORY_MS)
              .toList();
      outdated.forEach(crash -> forget(crash.key()));
      changed |= !outdated.isEmpty();
      changed |= quarantines.stream().anyMatch(quarantine -> quarantine.untilMs() <= now);
    }
    update();
  }

  private void update() {
    long now = clock.nowMs();
    boolean atOnce = unconfirmedTraits + confirmedTraits <= MAX_TRAITS_ANALYSED_AT_ONCE;
    if (!changed || (!atOnce && now < nextAnalysisMs)) {
      return;
    }
    changed = false;
    nextAnalysisMs = now + ANALYSIS_INTERVAL_MS;
    List<PromptCrash> crashes = new ArrayList<>(unconfirmed.values());
    confirmed.values().forEach(crash -> crashes.add(crash.value()));
    List<Quarantine> updated =
        CrashAnalysis.explain(crashes, this::answeredMs).stream()
            .map(PromptQuarantine::quarantine)
            .filter(quarantine -> quarantine.untilMs() > now)
            .toList();
    log("prompts-quarantined", updated, quarantines);
    log("prompts-released", quarantines, updated);
    quarantines = updated;
  }

  private long answeredMs(String part) {
    Observed<Long> answer = answeredMs.get(part);
    return answer == null ? Long.MIN_VALUE : answer.value();
  }

  private static Quarantine quarantine(CrashAnalysis.Explanation explanation) {
    int doublings = Math.max(0, explanation.crashes() - MIN_CRASHES);
    long forMs = (long) Math.min(MAX_QUARANTINE_MS, MIN_QUARANTINE_MS * Math.pow(2, doublings));
    return new Quarantine(explanation.parts(), explanation.crashes(), explanation.lastMs() + forMs);
  }

  /** Logs the quarantines in a list whose parts are not in another one. */
  private void log(String event, List<Quarantine> present, List<Quarantine> absent) {
    for (Quarantine quarantine : present) {
      if (absent.stream().noneMatch(q -> q.parts().equals(quarantine.parts()))) {
        EventLog.event(event)
            .with("parts", quarantine.parts())
            .with("crashes", quarantine.crashes())
            .with("remainingMs", quarantine.untilMs() - clock.nowMs())
            .warn();
      }
    }
  }
}
