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
  private final Map<String, Double> nextStartTags = new HashMap<>();
  private final TreeSet<QueueEntry> waiting =
      new TreeSet<>(
          Comparator.comparingDouble(QueueEntry::startTag)
              .thenComparingLong(entry -> entry.request().deadlineMs())
              .thenComparing(QueueEntry::attemptId));
  private double virtualTime;

  TierQueue(ToIntFunction<String> weights) {
    this.weights = weights;
  }

  void add(QueueEntry entry) {
    String organisation = entry.request().organisation();
    double start = Math.max(virtualTime, nextStartTags.getOrDefault(organisation, 0.0));
    double cost =
        estimatedTokens(entry.request()) / (double) Math.max(1, weights.applyAsInt(organisation));
    entry.setStartTag(start, cost);
    nextStartTags.put(organisation, start + cost);
    waiting.add(entry);
  }

  /** Takes an entry out because it got a slot. */
  void removeGranted(QueueEntry entry) {
    waiting.remove(entry);
    virtualTime = Math.max(virtualTime, entry.startTag());
    nextStartTags.values().removeIf(start -> start <= virtualTime);
  }

  /** Takes an entry out that will get none; its organisation is not charged. */
  boolean remove(QueueEntry entry) {
    boolean removed = waiting.remove(entry);
    if (removed) {
      nextStartTags.computeIfPresent(
          entry.request().organisation(), (name, start) -> start - entry.weightedCost());
    }
    return removed;
  }

  /** Charges an organisation for tokens beyond those expected. */
  void chargeExcess(QueueEntry entry, int outputTokens) {
    if (entry.weightedCost() == 0 || outputTokens == 0) {
      return;
    }
    String organisation = entry.request().organisation();
    double excess = outputTokens - expectedOutputTokens(entry.request());
    double start = Math.max(virtualTime, nextStartTags.getOrDefault(organisation, 0.0));
    nextStartTags.put(organisation, start + excess / Math.max(1, weights.applyAsInt(organisation)));
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int countAhead(QueueEntry entry) {
    return waiting.headSet(entry).size();
  }

  List<QueueEntry> inOrder() {
    return new ArrayList<>(waiting);
  }

  QueueEntry last() {
    return waiting.last();
  }

  private static double estimatedTokens(LeaseRequest request) {
    return 1.0 + request.promptTokens() + expectedOutputTokens(request);
  }

  private static int expectedOutputTokens(LeaseRequest request) {
    return request.outputTokens() == 0 ? DEFAULT_OUTPUT_TOKENS : request.outputTokens();
  }
}
