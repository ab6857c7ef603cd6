package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Waiting requests of one tier, in start-time fair queueing order between organisations.
 *
 * <p>The requests of an organisation get increasing start tags in virtual time; each request
 * advances the next tag by its tokens divided by the organisation's weight. Equal tags are ordered
 * by deadline.
 */
final class TierQueue {

  /** Output tokens expected of a request that does not say. */
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

  /** Removes an entry that got a slot and advances the virtual time to its start tag. */
  void removeGranted(QueueEntry entry) {
    waiting.remove(entry);
    virtualTime = Math.max(virtualTime, entry.startTag());
    nextStartTags.values().removeIf(start -> start <= virtualTime);
  }

  /** Removes an entry that gets no slot; its organisation is not charged. */
  boolean remove(QueueEntry entry) {
    boolean removed = waiting.remove(entry);
    if (removed) {
      nextStartTags.computeIfPresent(
          entry.request().organisation(), (name, start) -> start - entry.weightedCost());
    }
    return removed;
  }

  /** Charges an organisation for output tokens beyond those expected, or credits it for fewer. */
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
