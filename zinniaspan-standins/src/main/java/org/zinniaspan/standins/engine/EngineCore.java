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
 * Scheduler of an engine stand-in, with continuous batching by priority and a prefix cache.
 *
 * <p>Each step reads a limited number of prompt tokens and adds one token to each answer whose
 * prompt has been read. Thread-safe: state is guarded by this object's lock.
 */
public final class EngineCore {

  /** Maximum number of prompt tokens that one step reads, over all sequences. */
  public static final int PREFILL_TOKENS_PER_STEP = 64;

  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * The load of an engine at one time.
   *
   * @param atMs time of the sample, in milliseconds
   * @param running requests in the batch
   * @param waiting requests that wait in the engine
   * @param msPerToken milliseconds of a step that reads no prompt
   */
  public record LoadSample(long atMs, int running, int waiting, double msPerToken) {}

  /**
   * Counts of an engine since its start; the components are the fields of {@code GET /counts}.
   *
   * @param generated tokens generated
   * @param delivered tokens of answers that were written completely
   * @param cancelled tokens of answers that were cancelled before their end
   * @param deliveredBytes bytes of answers that were written completely
   * @param cancelledBytes bytes of answers that were cancelled before their end
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

  /** Queues a generation, which joins the batch in a later step when a slot is free. */
  synchronized Sequence submit(Generation generation) {
    Sequence sequence = new Sequence(generation, nextOrder++);
    waiting.add(sequence);
    notifyAll();
    return sequence;
  }

  /** Stops a sequence and counts its answer as delivered or cancelled. */
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

  /**
   * Begins a step: fills the batch and reads prompts.
   *
   * @return milliseconds that the step takes; 0 if there is nothing to do
   */
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

  /** Ends a step: adds one token to each answer of the batch whose prompt has been read. */
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

  /** Waits until a sequence is queued, at most the given time. */
  synchronized void awaitWork(long waitMs) throws InterruptedException {
    if (waiting.isEmpty()) {
      wait(waitMs);
    }
  }

  /** Returns the milliseconds of a step that reads no prompt, for the present batch. */
  public synchronized double msPerToken() {
    return (profile.baseMsPerToken() + batch.size() * profile.msPerTokenPerRequest()) * slowdown;
  }

  /** Returns the prompt tokens that the engine reads per second. */
  public synchronized double prefillTokensPerSecond() {
    return profile.prefillTokensPerSecond() / slowdown;
  }

  /** Multiplies the time of all work, as for a straggler; 1 is normal speed. */
  public synchronized void setSlowdown(double value) {
    slowdown = value;
  }

  /** Sets whether the engine refuses new requests. */
  public synchronized void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether the engine refuses new requests. */
  public synchronized boolean isLeaving() {
    return leaving;
  }

  /** Returns the models that are loaded. */
  public synchronized Set<String> models() {
    return Set.copyOf(models);
  }

  /**
   * Replaces the loaded models by those of a placement order.
   *
   * @return false if the profile checks fencing and the order's number is lower than one seen
   *     before; the models then stay
   */
  public synchronized boolean applyOrder(long fencing, Set<String> orderedModels) {
    if (profile.checksFencing() && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    models.clear();
    models.addAll(orderedModels);
    return true;
  }

  /** Returns the highest fencing number of the orders applied; 0 before the first. */
  public synchronized long highestFencing() {
    return highestFencing;
  }

  /** Returns the present load under the given time. */
  public synchronized LoadSample currentLoad(long nowMs) {
    return new LoadSample(nowMs, batch.size(), waiting.size(), msPerToken());
  }

  /** Adds the present load to the samples for later reports, and drops those no longer needed. */
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

  /** Returns the newest load sample that is at least as old as the report lag, else the oldest. */
  public synchronized LoadSample laggedLoad(long nowMs) {
    recordLoad(nowMs);
    return loadSamples.peekFirst();
  }

  /** Returns the counts since the engine started. */
  public synchronized Counts counts() {
    return counts;
  }
}
