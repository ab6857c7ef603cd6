package org.zinniaspan.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The scheduler of an engine stand-in: continuous batching by priority, and a prefix cache.
 *
 * <p>Each step reads a limited number of prompt tokens and adds one token to each answer whose
 * prompt has been read. State is guarded by this object's lock.
 */
public final class EngineCore {

  /** Prompt tokens that one step reads at most. */
  public static final int PREFILL_TOKENS_PER_STEP = 64;

  private static final double MS_PER_SECOND = 1_000.0;

  /** What an engine said of its load at one time. */
  public record LoadSample(long atMs, int running, int waiting, double msPerToken) {}

  /**
   * What an engine has done since its start.
   *
   * @param generated tokens generated
   * @param delivered tokens of answers that were written to their end
   * @param cancelled tokens of answers that were broken off
   * @param deliveredBytes bytes of answers that were written to their end
   * @param cancelledBytes bytes of answers that were broken off
   */
  public record Counts(
      long generated, long delivered, long cancelled, long deliveredBytes, long cancelledBytes) {}

  private final EngineProfile profile;
  private final PriorityQueue<Sequence> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt(Sequence::priority).thenComparingLong(Sequence::order));
  private final List<Sequence> batch = new ArrayList<>();
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private final PrefixCache cache;
  private final Set<String> models = new HashSet<>();
  private long nextOrder;
  private double slowdown = 1;
  private boolean leaving;
  private long highestFencing;
  private Counts counts = new Counts(0, 0, 0, 0, 0);

  /** Creates an idle engine that serves the given models. */
  public EngineCore(EngineProfile profile, Set<String> models) {
    this.profile = profile;
    this.models.addAll(models);
    this.cache = new PrefixCache(profile.cacheTokens());
  }

  /** Queues an answer; it joins the batch at one of the next steps. */
  synchronized Sequence submit(Generation generation) {
    Sequence sequence = new Sequence(generation, nextOrder++);
    waiting.add(sequence);
    notifyAll();
    return sequence;
  }

  /** Counts an answer that was written to its end or broken off. */
  synchronized void recordEnd(Sequence sequence, boolean complete, long bytes) {
    sequence.stop();
    int ownTokens = sequence.ownTokens();
    counts =
        new Counts(
            counts.generated(),
            counts.delivered() + (complete ? ownTokens : 0),
            counts.cancelled() + (complete ? 0 : ownTokens),
            counts.deliveredBytes() + (complete ? bytes : 0),
            counts.cancelledBytes() + (complete ? 0 : bytes));
  }

  /** Fills the batch, reads prompts, and returns the milliseconds that this step takes. */
  synchronized double beginStep() {
    batch.removeIf(Sequence::isOver);
    waiting.removeIf(Sequence::isOver);
    while (batch.size() < profile.slots() && !waiting.isEmpty()) {
      admit(waiting.poll());
    }
    if (batch.isEmpty()) {
      return 0;
    }
    return msPerToken() + MS_PER_SECOND * prefill() / profile.prefillTokensPerSecond() * slowdown;
  }

  private void admit(Sequence sequence) {
    Generation generation = sequence.generation();
    int cached = cache.matchAndInsert(generation.blockDigests());
    sequence.admit(Math.max(1, generation.promptTokens() + generation.resumeFromToken() - cached));
    batch.add(sequence);
  }

  private int prefill() {
    int remaining = PREFILL_TOKENS_PER_STEP;
    for (Sequence sequence : batch) {
      remaining -= sequence.prefill(remaining);
    }
    return PREFILL_TOKENS_PER_STEP - remaining;
  }

  /** Adds one token to each answer of the batch whose prompt has been read. */
  synchronized void endStep() {
    long added = batch.stream().filter(Sequence::decode).count();
    counts =
        new Counts(
            counts.generated() + added,
            counts.delivered(),
            counts.cancelled(),
            counts.deliveredBytes(),
            counts.cancelledBytes());
  }

  /** Waits until there is work or the time is over. */
  synchronized void awaitWork(long waitMs) throws InterruptedException {
    if (waiting.isEmpty()) {
      wait(waitMs);
    }
  }

  /** Returns the milliseconds of a step that reads no prompt. */
  public synchronized double msPerToken() {
    return (profile.baseMsPerToken() + batch.size() * profile.msPerTokenPerRequest()) * slowdown;
  }

  /** Returns the prompt tokens that it reads in a second. */
  public synchronized double prefillTokensPerSecond() {
    return profile.prefillTokensPerSecond() / slowdown;
  }

  /** Makes the engine slower, as a straggler; 1 is its usual pace. */
  public synchronized void setSlowdown(double value) {
    slowdown = value;
  }

  /** Makes the engine refuse new work, or take it again. */
  public synchronized void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether the engine refuses new work. */
  public synchronized boolean isLeaving() {
    return leaving;
  }

  /** Returns the models that are loaded. */
  public synchronized Set<String> models() {
    return Set.copyOf(models);
  }

  /** Obeys an order; returns false if its fencing number is refused. */
  public synchronized boolean applyOrder(long fencing, Set<String> orderedModels) {
    if (profile.checksFencing() && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    models.clear();
    models.addAll(orderedModels);
    return true;
  }

  /** Returns the highest fencing number seen. */
  public synchronized long highestFencing() {
    return highestFencing;
  }

  /** Returns the load of now. */
  public synchronized LoadSample currentLoad(long nowMs) {
    return new LoadSample(nowMs, batch.size(), waiting.size(), msPerToken());
  }

  /** Keeps the load of now for later reports. */
  public synchronized void recordLoad(long nowMs) {
    loadSamples.addLast(currentLoad(nowMs));
    while (loadSamples.size() > 1 && nowMs - secondSample().atMs() >= profile.reportLagMs()) {
      loadSamples.removeFirst();
    }
  }

  private LoadSample secondSample() {
    Iterator<LoadSample> iterator = loadSamples.iterator();
    iterator.next();
    return iterator.next();
  }

  /** Returns the load as it was when the report lag began. */
  public synchronized LoadSample laggedLoad(long nowMs) {
    recordLoad(nowMs);
    return loadSamples.peekFirst();
  }

  /** Returns what the engine has done since its start. */
  public synchronized Counts counts() {
    return counts;
  }
}
