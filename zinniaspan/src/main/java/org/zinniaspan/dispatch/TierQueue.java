package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * The asks of one tier that wait, in start-time fair order between organisations.
 *
 * <p>An organisation's asks start one after another in virtual time, each later by its tokens over
 * the organisation's weight. Equal starts are ordered by deadline.
 */
final class TierQueue {

  private static final int DEFAULT_OUTPUT_TOKENS = 100;

  private final ToIntFunction<String> weights;
  private final Map<String, Double> nextStart = new HashMap<>();
  private final TreeSet<QueuedAsk> waiting =
      new TreeSet<>(
          Comparator.comparingDouble(QueuedAsk::startTag)
              .thenComparingLong(entry -> entry.ask().deadlineMs())
              .thenComparing(QueuedAsk::attemptId));
  private double virtualTime;

  TierQueue(ToIntFunction<String> weights) {
    this.weights = weights;
  }

  void add(QueuedAsk entry) {
    String organisation = entry.ask().organisation();
    double start = Math.max(virtualTime, nextStart.getOrDefault(organisation, 0.0));
    double cost = tokens(entry.ask()) / (double) Math.max(1, weights.applyAsInt(organisation));
    entry.tag(start, cost);
    nextStart.put(organisation, start + cost);
    waiting.add(entry);
  }

  /** Takes an entry out because it got a slot. */
  void serve(QueuedAsk entry) {
    waiting.remove(entry);
    virtualTime = Math.max(virtualTime, entry.startTag());
    nextStart.values().removeIf(start -> start <= virtualTime);
  }

  /** Takes an entry out that will get none; its organisation is not charged. */
  boolean remove(QueuedAsk entry) {
    boolean removed = waiting.remove(entry);
    if (removed) {
      nextStart.computeIfPresent(entry.ask().organisation(), (name, start) -> start - entry.cost());
    }
    return removed;
  }

  /** Charges an organisation for tokens beyond those expected. */
  void correct(QueuedAsk entry, int outputTokens) {
    if (entry.cost() == 0 || outputTokens == 0) {
      return;
    }
    String organisation = entry.ask().organisation();
    double excess = outputTokens - expectedOutput(entry.ask());
    double start = Math.max(virtualTime, nextStart.getOrDefault(organisation, 0.0));
    nextStart.put(organisation, start + excess / Math.max(1, weights.applyAsInt(organisation)));
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int ahead(QueuedAsk entry) {
    return waiting.headSet(entry).size();
  }

  List<QueuedAsk> inOrder() {
    return new ArrayList<>(waiting);
  }

  QueuedAsk last() {
    return waiting.last();
  }

  private static double tokens(SlotAsk ask) {
    return 1.0 + ask.promptTokens() + expectedOutput(ask);
  }

  private static int expectedOutput(SlotAsk ask) {
    return ask.outputTokens() == 0 ? DEFAULT_OUTPUT_TOKENS : ask.outputTokens();
  }
}
