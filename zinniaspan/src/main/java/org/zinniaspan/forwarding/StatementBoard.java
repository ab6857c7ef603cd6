package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.zinniaspan.clock.Clock;

/**
 * The newest statement of each incarnation of an endpoint, as this VM and others heard it.
 *
 * <p>VMs tell each other what is new: the first statement, each change, and from time to time that
 * it is repeated. One that nobody has heard for {@value #MAX_AGE_MS} ms is outdated. Not
 * thread-safe.
 */
final class StatementBoard<V> {

  /** Time after which a statement that was not repeated is outdated, in milliseconds. */
  static final long MAX_AGE_MS = 60_000;

  /** Time after which a repeated statement is told to the other VMs again, in milliseconds. */
  private static final long REPEAT_INTERVAL_MS = 20_000;

  private final class State {
    private EndpointStatement<V> statement;
    private boolean own;
    private long sequence;
    private long toldMs;
  }

  private final Clock clock;
  private final ChangeSequence sequence;
  private final BiPredicate<V, V> same;
  private final Map<EndpointIncarnation, State> states = new HashMap<>();

  /**
   * Creates a board without statements.
   *
   * @param sequence numbers the statements that other VMs have to know
   * @param same returns whether a later statement says the same as an earlier one
   */
  StatementBoard(Clock clock, ChangeSequence sequence, BiPredicate<V, V> same) {
    this.clock = clock;
    this.sequence = sequence;
    this.same = same;
  }

  /**
   * Adds a statement, unless a newer one is known.
   *
   * @param own whether this VM heard it itself
   * @return whether it changes what is known of the endpoint
   */
  boolean put(EndpointStatement<V> statement, boolean own) {
    if (isOutdated(statement)) {
      return false;
    }
    if (!states.containsKey(statement.incarnation())) {
      removeOutdated();
    }
    State state = states.computeIfAbsent(statement.incarnation(), key -> new State());
    EndpointStatement<V> known = state.statement;
    boolean changes = known == null || !same.test(known.value(), statement.value());
    if (known != null && known.atMs() >= statement.atMs()) {
      if (changes && !own) {
        // The sender has an older statement: it is told the newer one.
        state.sequence = sequence.next(state.own);
      }
      return false;
    }
    state.statement = statement;
    if (changes || statement.atMs() - state.toldMs >= REPEAT_INTERVAL_MS) {
      state.own = own;
      state.toldMs = statement.atMs();
      state.sequence = sequence.next(own);
    }
    return changes;
  }

  /** Returns the statement of an endpoint's incarnation, if it is not outdated. */
  Optional<EndpointStatement<V>> find(EndpointIncarnation incarnation) {
    return Optional.ofNullable(states.get(incarnation))
        .map(state -> state.statement)
        .filter(statement -> !isOutdated(statement));
  }

  /** Returns the statements that are not outdated. */
  List<EndpointStatement<V>> all() {
    removeOutdated();
    return states.values().stream().map(state -> state.statement).toList();
  }

  /**
   * Returns the statements since a sequence number.
   *
   * @param ownOnly whether those that other VMs told are left out
   */
  List<EndpointStatement<V>> changesSince(long since, boolean ownOnly) {
    removeOutdated();
    List<EndpointStatement<V>> changes = new ArrayList<>();
    states.values().stream()
        .filter(state -> state.sequence > since && (state.own || !ownOnly))
        .forEach(state -> changes.add(state.statement));
    return changes;
  }

  private void removeOutdated() {
    states.values().removeIf(state -> state.statement == null || isOutdated(state.statement));
  }

  private boolean isOutdated(EndpointStatement<V> statement) {
    return clock.nowMs() - statement.atMs() > MAX_AGE_MS;
  }
}
